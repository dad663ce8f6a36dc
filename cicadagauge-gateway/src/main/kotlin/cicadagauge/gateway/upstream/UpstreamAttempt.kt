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

/** An attempt over a connection of [pool]. It ends exactly once and reports how by [ended]. */
internal class UpstreamAttempt(
    val hop: Hop,
    val exchange: Exchange,
    loop: EventLoop,
    private val pool: UpstreamConnections.Pool,
    private val ended: (AttemptOutcome) -> Unit,
) : Attempt {
    private val early = ArrayDeque<HttpContent>()
    private var channel: Channel? = null
    private var finished = false
    private val timeout: ScheduledFuture<*>

    init {
        val left = maxOf(0L, (hop.giveUpAt - MonotonicClock.now()).inWholeNanoseconds)
        timeout = loop.schedule({ deadlinePassed() }, left, TimeUnit.NANOSECONDS)
    }

    /** Whether the whole request was handed to the connection. */
    var sentWhole = false
        private set

    override val isWritable: Boolean get() = channel?.isWritable ?: true

    /** Sends the request over [connection], unless its time ran out while that was being made. */
    fun begin(connection: Channel) {
        if (!finished && MonotonicClock.now() >= hop.deadline) end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
        if (finished) {
            pool.keep(connection)
            return
        }
        channel = connection
        connection.pipeline().get(UpstreamHandler::class.java).attempt = this
        connection.write(UpstreamRequest.of(exchange.request, hop))
        while (early.isNotEmpty()) pass(connection, early.removeFirst())
        connection.flush()
    }

    override fun write(content: HttpContent) {
        val connection = channel
        when {
            finished -> content.release()
            connection == null -> early.addLast(content)
            else -> {
                pass(connection, content)
                connection.flush()
            }
        }
    }

    override fun pauseAnswer(pause: Boolean) {
        channel?.config()?.isAutoRead = !pause
    }

    override fun cancel(): Unit = end(AttemptOutcome.CallerGone(sent = channel != null))

    override fun end(outcome: AttemptOutcome) {
        if (finished) return
        finished = true
        timeout.cancel(false)
        early.forEach { it.release() }
        early.clear()
        channel?.let { leave(it, outcome) }
        ended(if (outcome is AttemptOutcome.NotRun) outcome.copy(replayable = exchange.replayable) else outcome)
    }

    private fun pass(connection: Channel, content: HttpContent) {
        if (content is LastHttpContent) sentWhole = true
        connection.write(content)
    }

    /** A connection is kept only where nothing more can come on it. */
    private fun leave(connection: Channel, outcome: AttemptOutcome) {
        val handler = connection.pipeline().get(UpstreamHandler::class.java)
        handler.attempt = null
        connection.config().isAutoRead = true
        val clean = outcome is AttemptOutcome.Answered ||
            outcome is AttemptOutcome.NotRun ||
            outcome is AttemptOutcome.Refused
        if (clean && sentWhole && handler.reusable) pool.keep(connection) else connection.close()
    }

    private fun deadlinePassed() {
        if (exchange.answering) return
        end(
            if (channel ==
                null
            ) {
                AttemptOutcome.NotRun(NotRunCause.Unreachable)
            } else {
                AttemptOutcome.Lost(timedOut = true)
            },
        )
    }
}
