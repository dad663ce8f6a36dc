package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Request rates of the slots of one pool, in requests per second, and the usual service time of each upstream. Requests
 * are counted for buckets of [HeatBucket.SLOTS] adjacent slots; the counts decay exponentially.
 */
internal class RangeHeat(private val slots: Int, start: Moment) {
    private val counts = DoubleArray((slots + HeatBucket.SLOTS - 1) / HeatBucket.SLOTS)
    private val sums = DoubleArray(counts.size + 1)
    private val usual = HashMap<UpstreamId, Duration>()
    private var fadedAt = start
    private var isSummed = false

    /** Adds the requests that a VM has counted since its last report, and the service times that it has seen. */
    fun add(buckets: List<HeatBucket>, times: List<UpstreamTime>, now: Moment) {
        fade(now)
        for (bucket in buckets) if (bucket.index in counts.indices) counts[bucket.index] += bucket.requests.toDouble()
        for (time in times) usual[time.upstream] = time.usual
        isSummed = false
    }

    /**
     * The requests per second for [range]. Every slot has a small base rate, so that ranges without requests are
     * weighed by their size.
     */
    fun rateOf(range: SlotRange): Double {
        sum()
        return (sumBelow(range.last + 1) - sumBelow(range.first)) / MEMORY.toDouble(DurationUnit.SECONDS) +
            BASE_RATE * range.size / slots
    }

    /** The usual time that [upstream] takes for one request. */
    fun timeOf(upstream: UpstreamId): Duration = usual[upstream] ?: UNKNOWN_TIME

    /** Decays the counts to their values at [now]. */
    fun fade(now: Moment) {
        if (now <= fadedAt) return
        val factor = exp(-((now - fadedAt) / MEMORY))
        for (index in counts.indices) counts[index] *= factor
        fadedAt = now
        isSummed = false
    }

    private fun sum() {
        if (isSummed) return
        for (index in counts.indices) sums[index + 1] = sums[index] + counts[index]
        isSummed = true
    }

    private fun sumBelow(slot: Int): Double {
        val index = slot / HeatBucket.SLOTS
        val part = slot % HeatBucket.SLOTS
        return if (part == 0) sums[index] else sums[index] + counts[index] * part / HeatBucket.SLOTS
    }

    private companion object {
        /**
         * Time constant of the decay: long enough to count some tens of requests per upstream, short enough to follow a
         * moving range of hot slots within 3 s.
         */
        val MEMORY: Duration = 2_500.milliseconds

        /** The service time of an upstream for which none has been reported. */
        val UNKNOWN_TIME: Duration = 50.milliseconds

        /** Requests per second that are spread evenly over all slots of the pool, besides those counted. */
        const val BASE_RATE = 1.0
    }
}
