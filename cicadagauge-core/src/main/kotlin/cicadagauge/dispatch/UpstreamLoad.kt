package cicadagauge.dispatch

import cicadagauge.admission.TokenBucket
import cicadagauge.declaration.ColdStart
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Moment
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PermitResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The load of one [upstream], as its home VM knows it from the attempts that it permitted: the requests in flight, an
 * adaptive concurrency limit and the average duration of an attempt. Before the first answer the durations at the
 * pool's other upstreams, [poolDurations], are used instead.
 *
 * The limit starts at [maxConcurrency], the declared concurrency; that of a cold upstream starts at one. It is halved
 * when the upstream is busy, falls to one when an attempt fails, and grows again with served requests. A broken
 * connection counts as a failure of the upstream only if the upstream has answered nothing since the attempt began;
 * otherwise only that connection is at fault.
 */
internal class UpstreamLoad(
    val upstream: Upstream,
    private var maxConcurrency: Int,
    private val settings: DispatchSettings,
    private val poolDurations: DurationAverage = DurationAverage(),
) {
    private var concurrencyLimit = maxConcurrency.toDouble()
    private var consecutiveFailures = 0
    private var pausedUntil = Moment.PAST
    private var lastServed = Moment.PAST
    private var busySince = Moment.PAST

    /** The last reported slowness: how many times longer than usual work takes on the upstream's host. */
    private var slowness = 1.0
    private var slownessAt = Moment.PAST

    /** The moving average of the reported slowness; the measured durations contain it. */
    private var averageSlowness = 1.0
    private val durations = DurationAverage()
    private var coldUntil = Moment.PAST
    private var coldBucket: TokenBucket? = null

    /** The number of requests that hold a permit. */
    var running = 0
        private set

    /** The moving average of the duration of an attempt, or null if the upstream has not answered any. */
    val measuredDuration: Duration? get() = durations.value

    private val usualDuration: Duration get() = measuredDuration ?: poolDurations.value ?: INITIAL_DURATION

    /** The number of requests that may run at the upstream at present. */
    val currentLimit: Int get() = if (consecutiveFailures > 0) 1 else concurrencyLimit.toInt()

    /**
     * Whether the upstream can take another request at [now]. After a failure it gets one attempt at a time, each after
     * a pause.
     */
    fun hasCapacity(now: Moment): Boolean =
        running < currentLimit && now >= pausedUntil && hasColdToken(now) && !isStalled(now)

    /** Whether the last attempt failed. */
    val hasFailed: Boolean get() = consecutiveFailures > 0

    /** Whether requests have been running for much longer than average without a single answer. */
    fun isStalled(now: Moment): Boolean {
        val since = maxOf(busySince, lastServed)
        return running >= minOf(maxConcurrency, MIN_STALLED_REQUESTS) &&
            now - since > maxOf(settings.stallTimeout, usualDuration * STALL_FACTOR)
    }

    /**
     * The average duration of an attempt. Before the upstream's first answer it is an estimate, and at least as long as
     * the upstream has been running requests without an answer.
     */
    fun averageDuration(now: Moment): Duration {
        measuredDuration?.let { return it }
        val unanswered = if (running > 0) now - busySince else Duration.ZERO
        return maxOf(usualDuration, unanswered)
    }

    /**
     * The expected duration of a request that starts at [now]. It grows with the share of permits in use, and with the
     * slowness that the upstream last reported of its host, which is ignored once it is out of date.
     */
    fun expectedDuration(now: Moment): Duration =
        averageDuration(now) * relativeSlowness(now) * (1.0 + CONTENTION_FACTOR * running / currentLimit)

    /** The expected throughput in requests per second, with the host as slow as it is at [now]. */
    fun expectedRate(now: Moment): Double = averageRate(now, relativeSlowness(now))

    /**
     * The average throughput in requests per second where requests take [slowness] times the average duration. While
     * the upstream is cold, it is at most the cold-start rate.
     */
    fun averageRate(now: Moment, slowness: Double = 1.0): Double {
        val limitedRate = currentLimit / (averageDuration(now) * slowness).toDouble(DurationUnit.SECONDS)
        val cold = coldBucket ?: return limitedRate
        return if (now < coldUntil) minOf(limitedRate, cold.rate) else limitedRate
    }

    /** How many times longer than average a request takes at present. */
    private fun relativeSlowness(now: Moment): Double {
        val isFresh = slownessAt + MAX_SLOWNESS_AGE > now
        return if (isFresh) maxOf(1.0, slowness) / averageSlowness else 1.0
    }

    /** The time that remains of the pause after an attempt that failed, was refused or found the upstream busy. */
    fun remainingPause(now: Moment): Duration = maxOf(Duration.ZERO, pausedUntil - now)

    /** Takes a permit; the caller has checked [hasCapacity]. */
    fun takePermit(now: Moment) {
        if (running == 0) busySince = now
        running++
        if (now < coldUntil) coldBucket?.take(1, now)
    }

    private fun hasColdToken(now: Moment): Boolean = now >= coldUntil || (coldBucket?.level(now) ?: 1.0) >= 1.0

    /** Returns a permit after an attempt that took [duration] and ended with [result]. */
    fun returnPermit(result: PermitResult, duration: Duration, slowness: Double?, now: Moment) {
        running = maxOf(0, running - 1)
        if (slowness != null) {
            this.slowness = slowness
            averageSlowness += (maxOf(1.0, slowness) - averageSlowness) * SLOWNESS_SMOOTHING_FACTOR
            slownessAt = now
        }
        when (result) {
            PermitResult.Served -> recordServed(duration)
            PermitResult.Busy -> {
                concurrencyLimit = maxOf(1.0, concurrencyLimit / 2)
                pause(now, BUSY_PAUSE)
            }
            PermitResult.Refused -> pause(now, BUSY_PAUSE)
            PermitResult.Unreachable -> recordFailure(now)
            PermitResult.Broken -> if (lastServed <= now - duration) recordFailure(now)
            PermitResult.Unused -> Unit
        }
        if (result == PermitResult.Served) lastServed = now
    }

    /** Applies [newMaxConcurrency], and until [newColdUntil] the rate that [coldStart] allows a cold upstream. */
    fun reconfigure(newMaxConcurrency: Int, coldStart: ColdStart?, newColdUntil: Moment, now: Moment) {
        maxConcurrency = newMaxConcurrency
        concurrencyLimit = minOf(concurrencyLimit, newMaxConcurrency.toDouble())
        if (newColdUntil == coldUntil) return
        coldUntil = newColdUntil
        if (now < coldUntil) concurrencyLimit = 1.0
        coldBucket = coldStart?.let {
            TokenBucket(it.ratePerSecond * COLD_RATE_FRACTION, capacity = COLD_BURST_REQUESTS, since = now)
        }
    }

    /** Ends the current pause, because the upstream's state has changed. */
    fun endPause() {
        pausedUntil = Moment.PAST
    }

    private fun recordServed(duration: Duration) {
        consecutiveFailures = 0
        durations.record(duration)
        poolDurations.record(duration)
        concurrencyLimit = minOf(maxConcurrency.toDouble(), concurrencyLimit + LIMIT_INCREASE / concurrencyLimit)
    }

    private fun recordFailure(now: Moment) {
        consecutiveFailures++
        concurrencyLimit = 1.0
        val doubled = settings.backoff * (1 shl minOf(consecutiveFailures - 1, MAX_DOUBLINGS))
        pause(now, minOf(doubled, settings.maxBackoff))
    }

    private fun pause(now: Moment, duration: Duration) {
        pausedUntil = maxOf(pausedUntil, now + duration)
    }

    private companion object {
        const val COLD_BURST_REQUESTS = 2.0

        /** While VMs join or leave, two may act as home of one upstream; their combined rate must not overload it. */
        const val COLD_RATE_FRACTION = 0.75

        /** The multiple of the average duration after which running requests count as stalled. */
        const val STALL_FACTOR = 6

        /** A single slow request does not show that the upstream has stalled. */
        const val MIN_STALLED_REQUESTS = 2

        /** The relative increase of the expected duration when all permits are in use. */
        const val CONTENTION_FACTOR = 0.3
        val MAX_SLOWNESS_AGE = 300.milliseconds

        /** The weight of the latest report in the average slowness. */
        const val SLOWNESS_SMOOTHING_FACTOR = 0.1

        /** The increase of the concurrency limit for about as many served requests as the limit. */
        const val LIMIT_INCREASE = 0.25
        const val MAX_DOUBLINGS = 4
        val INITIAL_DURATION = 5.milliseconds
        val BUSY_PAUSE = 2.milliseconds
    }
}
