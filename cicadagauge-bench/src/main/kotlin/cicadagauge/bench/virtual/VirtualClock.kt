package cicadagauge.bench.virtual

import cicadagauge.identity.Moment

/** One process's monotonic clock: an offset of its own, and [drift] as a part of the time that passes. */
class VirtualClock(private val time: VirtualTime, private val offset: Long, private val drift: Double) {
    /** What the clock reads now. */
    fun now(): Moment = Moment(offset + (time.now * (1 + drift)).toLong())

    /** The virtual time at which the clock reads [moment], rounded up. */
    fun timeOf(moment: Moment): Long = ((moment.nanos - offset) / (1 + drift)).toLong() + 1
}
