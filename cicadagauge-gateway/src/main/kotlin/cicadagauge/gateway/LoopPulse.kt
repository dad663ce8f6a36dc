package cicadagauge.gateway

import cicadagauge.identity.Moment
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices when an event loop stands still or falls behind. What it reads then, and right after it, has been waiting for
 * up to [lag], which counts against the caller's deadline: a caller that has left long ago must not have its request
 * run. A new connection is accepted in one turn of the loop and read in the next, so the beat between hides nothing.
 */
internal class LoopPulse(private val clock: () -> Moment = MonotonicClock::now) {
    private var lastBeat = clock()
    private var stall = Duration.ZERO
    private var stallEnd = lastBeat

    /**
     * Whether the loop stood still not long ago, or has just started to run: callers may have gone whose requests are
     * only being read now.
     */
    val isRecovering: Boolean get() = clock() < stallEnd + RECOVERY

    /** Begins to beat on [loop]. */
    fun start(loop: EventLoop) {
        beat()
        loop.scheduleWithFixedDelay(
            ::beat,
            PERIOD.inWholeMilliseconds,
            PERIOD.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Notes that the loop is running. */
    fun beat() {
        val now = clock()
        val late = overdue(now)
        if (late > Duration.ZERO) {
            stall = late
            stallEnd = now
        }
        lastBeat = now
    }

    /** How long the loop has been behind; nothing where a beat is not overdue. */
    fun lag(): Duration {
        val now = clock()
        val recent = if (now < stallEnd + AFTERMATH) stall else Duration.ZERO
        return maxOf(overdue(now), recent)
    }

    private fun overdue(now: Moment): Duration {
        val since = now - lastBeat
        return if (since <= PERIOD * TOLERANCE) Duration.ZERO else since - PERIOD
    }

    private companion object {
        val PERIOD = 50.milliseconds

        /** A process that has started or stood still works off what has piled up for about as long. */
        val RECOVERY = 1_000.milliseconds

        /** A few turns of a loop that runs again. */
        val AFTERMATH = 50.milliseconds

        /** Timers fire slightly late. */
        const val TOLERANCE = 2
    }
}
