package cicadagauge.dispatch

import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When callers who were refused were told to come back. Each is told a later time than those before, so that they
 * return in the order in which they were refused, and no faster than they can be served.
 */
internal class ExpectedReturns {
    private var last = Moment.PAST

    /**
     * Returns how long a caller who is refused at [now] should wait, if there is room after [wait] and the upstreams
     * serve [ratePerSecond].
     */
    fun next(wait: Duration, ratePerSecond: Double, now: Moment): Duration {
        val interval = (1.0 / ratePerSecond).seconds
        val after = if (last < now) now + wait else maxOf(now + wait, last + interval)
        last = minOf(after, now + wait + MAX_SPREAD)
        return last - now
    }

    private companion object {
        /** Callers who were told to wait longer than that would mostly have given up. */
        val MAX_SPREAD = 1.seconds
    }
}
