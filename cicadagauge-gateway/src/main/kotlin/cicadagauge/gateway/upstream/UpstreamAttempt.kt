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

/** An attempt over a connection. It ends exactly once and reports its outcome to [onEnded]. */
internal class UpstreamAttempt(
    val hop: Hop,
    val exchange: Exchange,
    loop: EventLoop,
    private val onEnded: (AttemptOutcome) -> Unit,
) : Attempt {
    private val pendingContent = ArrayDeque<HttpContent>()
    private var pendingBytes = 0L
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

    override val isWritable: Boolean get() = channel?.isWritable ?: (pendingBytes < MAX_PENDING_BYTES)

    override val heldBytes: Long
        get() = channel?.unsafe()?.outboundBuffer()?.totalPendingWriteBytes() ?: pendingBytes

    /**
     * Sends the request over [connection] and returns true, unless the attempt ended or its deadline passed during the
     * connect.
     */
    fun sendOver(connection: Channel): Boolean {
        if (!hasEnded && MonotonicClock.now() >= hop.deadline) end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
        if (hasEnded) return false
        channel = connection
        connection.upstreamHandler().begin(this)
        connection.write(UpstreamRequest.of(exchange.request, hop))
        while (pendingContent.isNotEmpty()) writeContent(connection, pendingContent.removeFirst())
        connection.flush()
        exchange.caller.pauseBody(!connection.isWritable)
        return true
    }

    override fun write(content: HttpContent) {
        val connection = channel
        when {
            hasEnded -> content.release()
            connection == null -> {
                pendingBytes += content.content().readableBytes() + PIECE_BYTES
                pendingContent.addLast(content)
            }
            else -> {
                writeContent(connection, content)
                connection.flush()
            }
        }
    }

    override fun pauseResponse(pause: Boolean) {
        channel?.upstreamHandler()?.pauseReading(pause)
    }

    override fun cancel(): Unit = end(AttemptOutcome.CallerGone(sent = channel != null))

    override fun end(outcome: AttemptOutcome) {
        if (hasEnded) return
        hasEnded = true
        timeout.cancel(false)
        pendingContent.forEach { it.release() }
        pendingContent.clear()
        channel?.upstreamHandler()?.release(canBeReused = isRequestSent && isResponse(outcome))
        onEnded(outcome)
    }

    private fun writeContent(connection: Channel, content: HttpContent) {
        if (content is LastHttpContent) isRequestSent = true
        connection.write(content)
    }

    private fun isResponse(outcome: AttemptOutcome) =
        outcome is AttemptOutcome.Answered || outcome is AttemptOutcome.NotRun || outcome is AttemptOutcome.Refused

    private fun onTimeout() {
        if (exchange.hasResponseStarted) {
            channel?.upstreamHandler()?.deadlinePassed()
            return
        }
        end(
            if (channel == null) {
                AttemptOutcome.NotRun(NotRunCause.Unreachable)
            } else {
                AttemptOutcome.Lost(timedOut = true)
            },
        )
    }

    private companion object {
        /** How much of a body is taken before the connection is established, in bytes. */
        const val MAX_PENDING_BYTES = 65_536L

        /** The memory that a piece of a body takes besides its bytes. */
        const val PIECE_BYTES = 96
    }
}
