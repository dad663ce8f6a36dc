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
    private val prefixSums = DoubleArray(counts.size + 1)
    private val serviceTimes = HashMap<UpstreamId, Duration>()
    private var decayedAt = start
    private var areSumsCurrent = false

    /** Adds the requests that a VM has counted since its last report, and the service times that it has seen. */
    fun add(buckets: List<HeatBucket>, times: List<UpstreamTime>, now: Moment) {
        decay(now)
        for (bucket in buckets) if (bucket.index in counts.indices) counts[bucket.index] += bucket.requests.toDouble()
        for (time in times) serviceTimes[time.upstream] = time.usual
        areSumsCurrent = false
    }

    /**
     * The requests per second for [range]: at a steady rate, the decayed count is the rate times [TIME_CONSTANT]. Every
     * slot has a small base rate, so that ranges without requests are weighed by their size.
     */
    fun rateOf(range: SlotRange): Double {
        updateSums()
        return (countBelow(range.last + 1) - countBelow(range.first)) / TIME_CONSTANT.toDouble(DurationUnit.SECONDS) +
            BASE_RATE * range.size / slots
    }

    /** The usual time that [upstream] takes for one request. */
    fun serviceTimeOf(upstream: UpstreamId): Duration = serviceTimes[upstream] ?: DEFAULT_SERVICE_TIME

    /** Decays the counts to their values at [now]. */
    fun decay(now: Moment) {
        if (now <= decayedAt) return
        val factor = exp(-((now - decayedAt) / TIME_CONSTANT))
        for (index in counts.indices) counts[index] *= factor
        decayedAt = now
        areSumsCurrent = false
    }

    private fun updateSums() {
        if (areSumsCurrent) return
        for (index in counts.indices) prefixSums[index + 1] = prefixSums[index] + counts[index]
        areSumsCurrent = true
    }

    private fun countBelow(slot: Int): Double {
        val index = slot / HeatBucket.SLOTS
        val part = slot % HeatBucket.SLOTS
        return if (part == 0) prefixSums[index] else prefixSums[index] + counts[index] * part / HeatBucket.SLOTS
    }

    private companion object {
        /**
         * Time constant of the decay: long enough to count some tens of requests per upstream, short enough to follow a
         * moving range of hot slots within 3 s.
         */
        val TIME_CONSTANT: Duration = 2_500.milliseconds

        /** The service time of an upstream for which none has been reported. */
        val DEFAULT_SERVICE_TIME: Duration = 50.milliseconds

        /** Requests per second that are spread evenly over all slots of the pool, besides those counted. */
        const val BASE_RATE = 1.0
    }
}
