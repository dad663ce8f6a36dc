package cicadagauge.dispatch

import cicadagauge.identity.Moment
import kotlin.time.Duration

/**
 * Tells a lasting overload from a burst: in the former, requests that can be answered in time are always waiting, but
 * for moments that are too short to serve others.
 */
internal class BusyPeriod {
    private var since = Moment.FUTURE
    private var emptySince: Moment? = Moment.PAST

    /** Notes that a request waits at [now] that can be answered within [target]. */
    fun requestAdded(target: Duration, now: Moment) {
        if (hasEnded(target, now)) since = now
        emptySince = null
    }

    /** Notes that no such request waits any more. */
    fun queueEmptied(now: Moment) {
        emptySince = emptySince ?: now
    }

    /** Whether the period has lasted for longer than a burst keeps requests waiting that are wanted within [target]. */
    fun isLasting(target: Duration, now: Moment): Boolean =
        !hasEnded(target, now) && since + target * BURST_TARGETS < now

    private fun hasEnded(target: Duration, now: Moment): Boolean =
        emptySince?.let { it + target * MIN_GAP_TARGETS <= now } ?: false

    private companion object {
        /** How long a burst keeps requests waiting, as a multiple of their target. */
        const val BURST_TARGETS = 4

        /** How long no request must wait for a period to end, as a multiple of the target. */
        const val MIN_GAP_TARGETS = 0.25
    }
}
