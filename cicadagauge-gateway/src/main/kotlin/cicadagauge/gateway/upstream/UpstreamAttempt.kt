package cicadagauge.gateway.upstream

import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.caller.Exchange
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** An attempt over a connection of [pool]. It ends exactly once and reports its outcome to [onEnded]. */
internal class UpstreamAttempt(
    val hop: Hop,
    val exchange: Exchange,
    loop: EventLoop,
    private val pool: UpstreamConnections.ConnectionPool,
    private val onEnded: (AttemptOutcome) -> Unit,
) : Attempt {
    private val pendingContent = ArrayDeque<HttpContent>()
    private var channel: Channel? = null
    private var hasEnded = false
    private val timeout: ScheduledFuture<*>

    init {
        val remainingNanos = maxOf(0L, (hop.giveUpAt - MonotonicClock.now()).inWholeNanoseconds)
        timeout = loop.schedule({ onTimeout() }, remainingNanos, TimeUnit.NANOSECONDS)
    }

    /** Whether the complete request has been written to the connection. */
    var isRequestSent = false
        private set

    override val isWritable: Boolean get() = channel?.isWritable ?: true

    /** Sends the request over [connection], unless the attempt ended or its deadline passed during the connect. */
    fun sendOver(connection: Channel) {
        if (!hasEnded && MonotonicClock.now() >= hop.deadline) end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
        if (hasEnded) {
            pool.addIdle(connection)
            return
        }
        channel = connection
        connection.pipeline().get(UpstreamHandler::class.java).attempt = this
        connection.write(UpstreamRequest.of(exchange.request, hop))
        while (pendingContent.isNotEmpty()) writeContent(connection, pendingContent.removeFirst())
        connection.flush()
    }

    override fun write(content: HttpContent) {
        val connection = channel
        when {
            hasEnded -> content.release()
            connection == null -> pendingContent.addLast(content)
            else -> {
                writeContent(connection, content)
                connection.flush()
            }
        }
    }

    override fun pauseResponse(pause: Boolean) {
        channel?.config()?.isAutoRead = !pause
    }

    override fun cancel(): Unit = end(AttemptOutcome.CallerGone(sent = channel != null))

    override fun end(outcome: AttemptOutcome) {
        if (hasEnded) return
        hasEnded = true
        timeout.cancel(false)
        pendingContent.forEach { it.release() }
        pendingContent.clear()
        channel?.let { releaseConnection(it, outcome) }
        onEnded(if (outcome is AttemptOutcome.NotRun) outcome.copy(replayable = exchange.isReplayable) else outcome)
    }

    private fun writeContent(connection: Channel, content: HttpContent) {
        if (content is LastHttpContent) isRequestSent = true
        connection.write(content)
    }

    /** Returns [connection] to the pool if nothing more can arrive on it, and closes it otherwise. */
    private fun releaseConnection(connection: Channel, outcome: AttemptOutcome) {
        val handler = connection.pipeline().get(UpstreamHandler::class.java)
        handler.attempt = null
        connection.config().isAutoRead = true
        val isResponseComplete = outcome is AttemptOutcome.Answered ||
            outcome is AttemptOutcome.NotRun ||
            outcome is AttemptOutcome.Refused
        if (isResponseComplete && isRequestSent && handler.isReusable) pool.addIdle(connection) else connection.close()
    }

    private fun onTimeout() {
        if (exchange.hasResponseStarted) return
        end(
            if (channel == null) {
                AttemptOutcome.NotRun(NotRunCause.Unreachable)
            } else {
                AttemptOutcome.Lost(timedOut = true)
            },
        )
    }
}
