package cicadagauge.bench.virtual

import cicadagauge.identity.Moment

/**
 * The monotonic clock of one process. It starts at [offset] nanoseconds and gains the fraction [drift] of the virtual
 * time that passes (it loses time if [drift] is negative).
 */
class VirtualClock(private val time: VirtualTime, private val offset: Long, private val drift: Double) {
    /** The current reading of the clock. */
    fun now(): Moment = Moment(offset + (time.now * (1 + drift)).toLong())

    /** The virtual time, in nanoseconds and rounded up, at which the clock reads [moment]. */
    fun virtualTimeOf(moment: Moment): Long = ((moment.nanos - offset) / (1 + drift)).toLong() + 1
}
