package cicadagauge.gateway

import cicadagauge.identity.Moment
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects when an event loop stalls or falls behind. A request that is read while the loop is behind, or right after a
 * stall, may have waited for up to [lag]. This time counts against the caller's deadline, because a request whose
 * caller left long ago must not run. A new connection is accepted in one turn of the loop and read in the next, so
 * [lag] still reports a stall for a short time after the tick that ends it.
 */
internal class EventLoopMonitor(private val clock: () -> Moment = MonotonicClock::now) {
    private var lastTick = clock()
    private var stallDuration = Duration.ZERO
    private var stallEnd = lastTick

    /**
     * Whether the loop has stalled recently or has just started: callers whose requests are only being read now may
     * already have disconnected.
     */
    val isRecovering: Boolean get() = clock() < stallEnd + RECOVERY_WINDOW

    /** Starts ticking on [loop]. */
    fun start(loop: EventLoop) {
        tick()
        loop.scheduleWithFixedDelay(
            ::tick,
            TICK_INTERVAL.inWholeMilliseconds,
            TICK_INTERVAL.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Records that the loop is running; called at every [TICK_INTERVAL]. */
    fun tick() {
        val now = clock()
        val delay = overdueBy(now)
        if (delay > Duration.ZERO) {
            stallDuration = delay
            stallEnd = now
        }
        lastTick = now
    }

    /** How long the loop is behind, or was in a stall that has just ended; zero otherwise. */
    fun lag(): Duration {
        val now = clock()
        val recent = if (now < stallEnd + POST_STALL_WINDOW) stallDuration else Duration.ZERO
        return maxOf(overdueBy(now), recent)
    }

    private fun overdueBy(now: Moment): Duration {
        val since = now - lastTick
        return if (since <= TICK_INTERVAL * LATE_TICK_FACTOR) Duration.ZERO else since - TICK_INTERVAL
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds

        /** A process that has started or stalled takes about this long to work off its backlog. */
        val RECOVERY_WINDOW = 1_000.milliseconds

        /** Covers a few turns of the loop after a stall. */
        val POST_STALL_WINDOW = 50.milliseconds

        /** A tick is overdue after this many intervals, because timers fire slightly late. */
        const val LATE_TICK_FACTOR = 2
    }
}
