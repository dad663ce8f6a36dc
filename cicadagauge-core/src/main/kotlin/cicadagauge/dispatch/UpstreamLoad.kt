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
 * adaptive concurrency limit and the average duration of an attempt.
 *
 * The limit grows with served requests up to [maxConcurrency], the declared concurrency. It is halved when the upstream
 * is busy and falls to one when an attempt fails. A broken connection counts as a failure of the upstream only if the
 * upstream has answered nothing since the attempt began; otherwise only that connection is at fault.
 */
internal class UpstreamLoad(
    val upstream: Upstream,
    private var maxConcurrency: Int,
    private val settings: DispatchSettings,
) {
    private var concurrencyLimit = 1.0
    private var consecutiveFailures = 0
    private var pausedUntil = Moment.PAST
    private var lastServed = Moment.PAST
    private var busySince = Moment.PAST

    /** The last reported slowness: how many times longer than usual work takes on the upstream's host. */
    private var slowness = 1.0
    private var slownessAt = Moment.PAST
    private var coldUntil = Moment.PAST
    private var coldBucket: TokenBucket? = null

    /** The number of requests that hold a permit. */
    var running = 0
        private set

    /** The moving average of the duration of an attempt. */
    var averageDuration: Duration = INITIAL_DURATION
        private set

    /** Whether [averageDuration] has been measured, rather than being the initial estimate. */
    val isMeasured: Boolean get() = lastServed > Moment.PAST

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
            now - since > maxOf(settings.stallTimeout, averageDuration * STALL_FACTOR)
    }

    /**
     * The expected duration of a request that starts at [now]. It grows with the share of permits in use, and with the
     * slowness that the upstream last reported of its host, which is ignored once it is out of date.
     */
    fun expectedDuration(now: Moment): Duration {
        val isFresh = slownessAt + MAX_SLOWNESS_AGE > now
        val currentSlowness = if (isFresh) maxOf(1.0, slowness) else 1.0
        return averageDuration * currentSlowness * (1.0 + CONTENTION_FACTOR * running / currentLimit)
    }

    /** The expected throughput in requests per second; while the upstream is cold, at most the cold-start rate. */
    fun expectedRate(now: Moment): Double {
        val limitedRate = currentLimit / expectedDuration(now).toDouble(DurationUnit.SECONDS)
        val cold = coldBucket ?: return limitedRate
        return if (now < coldUntil) minOf(limitedRate, cold.rate) else limitedRate
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
        averageDuration =
            if (isMeasured) averageDuration * (1 - SMOOTHING_FACTOR) + duration * SMOOTHING_FACTOR else duration
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

        /** The weight of the latest duration in the moving average. */
        const val SMOOTHING_FACTOR = 0.1

        /** The increase of the concurrency limit for about as many served requests as the limit. */
        const val LIMIT_INCREASE = 0.25
        const val MAX_DOUBLINGS = 4
        val INITIAL_DURATION = 5.milliseconds
        val BUSY_PAUSE = 2.milliseconds
    }
}
