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
internal class EventLoopMonitor(private val clock: () -> Moment = MonotonicClock::now) {
    private var lastTick = clock()
    private var stall = Duration.ZERO
    private var stallEnd = lastTick

    /**
     * Whether the loop stood still not long ago, or has just started to run: callers may have gone whose requests are
     * only being read now.
     */
    val isRecovering: Boolean get() = clock() < stallEnd + RECOVERY_WINDOW

    /** Begins to beat on [loop]. */
    fun start(loop: EventLoop) {
        tick()
        loop.scheduleWithFixedDelay(
            ::tick,
            TICK_INTERVAL.inWholeMilliseconds,
            TICK_INTERVAL.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Notes that the loop is running. */
    fun tick() {
        val now = clock()
        val delay = overdueBy(now)
        if (delay > Duration.ZERO) {
            stall = delay
            stallEnd = now
        }
        lastTick = now
    }

    /** How long the loop has been behind; nothing where a beat is not overdue. */
    fun lag(): Duration {
        val now = clock()
        val recent = if (now < stallEnd + POST_STALL_WINDOW) stall else Duration.ZERO
        return maxOf(overdueBy(now), recent)
    }

    private fun overdueBy(now: Moment): Duration {
        val since = now - lastTick
        return if (since <= TICK_INTERVAL * LATE_TICK_FACTOR) Duration.ZERO else since - TICK_INTERVAL
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds

        /** A process that has started or stood still works off what has piled up for about as long. */
        val RECOVERY_WINDOW = 1_000.milliseconds

        /** A few turns of a loop that runs again. */
        val POST_STALL_WINDOW = 50.milliseconds

        /** Timers fire slightly late. */
        const val LATE_TICK_FACTOR = 2
    }
}
