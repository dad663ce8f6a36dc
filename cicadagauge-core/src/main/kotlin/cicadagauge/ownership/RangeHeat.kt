package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.BalanceSettings
import kotlin.math.exp
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Request rates of the slots of one pool, in requests per second, and the usual service time of each upstream. Requests
 * are counted for buckets of [HeatBucket.SLOTS] adjacent slots; the counts decay exponentially. Service times are
 * averaged over a longer time, so that a moment in which an upstream is slow moves no keys.
 */
internal class RangeHeat(
    private val slots: Int,
    start: Moment,
    private val settings: BalanceSettings = BalanceSettings(),
) {
    private val counts = DoubleArray((slots + HeatBucket.SLOTS - 1) / HeatBucket.SLOTS)
    private val prefixSums = DoubleArray(counts.size + 1)
    private val serviceTimes = HashMap<UpstreamId, ServiceTime>()
    private val seconds = settings.heatTimeConstant.toDouble(DurationUnit.SECONDS)
    private var decayedAt = start
    private var areSumsCurrent = false
    private var meanServiceTime = DEFAULT_SERVICE_TIME

    /** Adds the requests that a VM has counted since its last report, and the service times that it has seen. */
    fun add(buckets: List<HeatBucket>, times: List<UpstreamTime>, now: Moment) {
        decay(now)
        for (bucket in buckets) if (bucket.index in counts.indices) counts[bucket.index] += bucket.requests.toDouble()
        for (time in times) {
            val before = serviceTimes[time.upstream]
            serviceTimes[time.upstream] = before?.averagedWith(time.usual, now) ?: ServiceTime(time.usual, now)
        }
        if (times.isNotEmpty()) meanServiceTime = mean()
        areSumsCurrent = false
    }

    /**
     * The requests per second for [range]: at a steady rate, the decayed count is the rate times the time constant.
     * Every slot has a small base rate, so that ranges without requests are weighed by their size.
     */
    fun rateOf(range: SlotRange): Double {
        updateSums()
        return (countBelow(range.last + 1) - countBelow(range.first)) / seconds +
            BASE_RATE * range.size / slots
    }

    /**
     * The standard deviation of an estimated [rate] of requests per second. A count that decays exponentially
     * varies as one of half the size without decay.
     */
    fun uncertaintyOf(rate: Double): Double = sqrt(rate / (2 * seconds))

    /** The usual time that [upstream] takes for one request; if none has been reported, the mean of the others. */
    fun serviceTimeOf(upstream: UpstreamId): Duration = serviceTimes[upstream]?.average ?: meanServiceTime

    private fun mean(): Duration =
        serviceTimes.values.fold(Duration.ZERO) { sum, time -> sum + time.average } / serviceTimes.size

    /** The part of [range] of the fewest buckets that has [rate] requests per second, or null if it has fewer. */
    fun densestPart(range: SlotRange, rate: Double): SlotRange? {
        var densest: SlotRange? = null
        var first = range.first / HeatBucket.SLOTS
        for (last in first..range.last / HeatBucket.SLOTS) {
            while (first < last && rateOf(partOf(first + 1, last, range)) >= rate) first++
            val part = partOf(first, last, range)
            if (rateOf(part) >= rate && (densest == null || part.size < densest.size)) densest = part
        }
        return densest
    }

    /** The slots of [range] in the buckets from [first] to [last]. */
    private fun partOf(first: Int, last: Int, range: SlotRange) = SlotRange(
        maxOf(range.first, first * HeatBucket.SLOTS),
        minOf(range.last, (last + 1) * HeatBucket.SLOTS - 1),
    )

    /** Decays the counts to their values at [now]. */
    fun decay(now: Moment) {
        if (now <= decayedAt) return
        val factor = exp(-((now - decayedAt) / settings.heatTimeConstant))
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

    /** The [average] service time of an upstream at its last report, [at]. */
    private inner class ServiceTime(val average: Duration, private val at: Moment) {
        fun averagedWith(reported: Duration, now: Moment): ServiceTime {
            val weight = 1 - exp(-((now - at) / settings.serviceTimeConstant))
            return ServiceTime(average * (1 - weight) + reported * weight, now)
        }
    }

    private companion object {
        /** The service time of all upstreams while none has been reported. */
        val DEFAULT_SERVICE_TIME: Duration = 50.milliseconds

        /** Requests per second that are spread evenly over all slots of the pool, besides those counted. */
        const val BASE_RATE = 1.0
    }
}
