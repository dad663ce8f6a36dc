package cicadagauge.gateway.upstream

import cicadagauge.gateway.UpstreamLimits
import cicadagauge.outcome.TruncationCause
import io.netty.util.concurrent.Ticker
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Decides when a response that has begun is given up. Before the request's deadline it only has to make progress; from
 * then on its time is bounded as well, because an upstream that never ends a response makes progress all the time. Time
 * in which reading is paused, because the caller reads slowly, is not the upstream's.
 */
internal class ResponseProgress(private val limits: UpstreamLimits, private val ticker: Ticker) {
    private var lastReadNanos = ticker.nanoTime()
    private var pausedSinceNanos: Long? = null

    /** When the upstream could last begin to send: when reading was resumed or the response began. */
    private var resumedNanos = ticker.nanoTime()
    private var deadlineNanos: Long? = null

    /** How long reading has been paused since the deadline, up to the present pause. */
    private var pausedTime = Duration.ZERO

    /** Records that a part of the response was read. */
    fun recordRead() {
        lastReadNanos = ticker.nanoTime()
    }

    /** Records that reading is paused or resumed. */
    fun recordPause(isPaused: Boolean) {
        if (isPaused == (pausedSinceNanos != null)) return
        pausedTime = overduePause()
        if (!isPaused) resumedNanos = ticker.nanoTime()
        pausedSinceNanos = if (isPaused) ticker.nanoTime() else null
    }

    /** Records that the deadline of the request has passed. */
    fun recordDeadline() {
        deadlineNanos = ticker.nanoTime()
    }

    /** Why the response is to be given up now, or null if it may go on. */
    fun truncation(): TruncationCause? = when {
        since(lastReadNanos) >= limits.responseProgress -> TruncationCause.Stalled
        deadlineNanos == null -> null
        remainingOverdue() <= Duration.ZERO -> TruncationCause.Overdue
        pausedSinceNanos == null && overdueSilence() >= limits.overdueProgress -> TruncationCause.Stalled
        else -> null
    }

    /** How long after this moment [truncation] may have another result, if nothing is recorded until then. */
    fun nextCheck(): Duration = when {
        deadlineNanos == null -> limits.responseProgress - since(lastReadNanos)
        pausedSinceNanos != null -> limits.overdueProgress
        else -> minOf(limits.overdueProgress - overdueSilence(), remainingOverdue())
    }

    private fun overdueSilence(): Duration = since(maxOf(lastReadNanos, resumedNanos))

    /** How much longer the response may last. A pause is excluded up to [UpstreamLimits.responseProgress] in all. */
    private fun remainingOverdue(): Duration {
        val overdue = deadlineNanos?.let(::since) ?: return limits.overdueResponse
        return limits.overdueResponse + minOf(overduePause(), limits.responseProgress) - overdue
    }

    /** How long reading has been paused since the deadline. */
    private fun overduePause(): Duration {
        val deadline = deadlineNanos ?: return Duration.ZERO
        val pausedSince = pausedSinceNanos ?: return pausedTime
        return pausedTime + since(maxOf(pausedSince, deadline))
    }

    private fun since(nanos: Long): Duration = (ticker.nanoTime() - nanos).nanoseconds
}
