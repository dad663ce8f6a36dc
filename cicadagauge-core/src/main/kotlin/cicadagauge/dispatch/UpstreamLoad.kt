package cicadagauge.dispatch

import cicadagauge.admission.TokenBucket
import cicadagauge.declaration.ColdStart
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Moment
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PlaceResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The load of one [upstream], as its home VM knows it from the attempts that it permitted: the requests in flight, an
 * adaptive concurrency limit and the average duration of an attempt.
 *
 * The limit grows with served requests up to [ceiling], the declared concurrency. It is halved when the upstream is
 * busy and falls to one when an attempt fails. A broken connection counts as a failure of the upstream only if the
 * upstream has answered nothing since the attempt began; otherwise only that connection is at fault.
 */
internal class UpstreamLoad(val upstream: Upstream, private var ceiling: Int, private val settings: DispatchSettings) {
    private var limit = 1.0
    private var failures = 0
    private var suspectUntil = Moment.PAST
    private var lastServed = Moment.PAST
    private var busySince = Moment.PAST
    private var slowness = 1.0
    private var slownessAt = Moment.PAST
    private var coldUntil = Moment.PAST
    private var coldBucket: TokenBucket? = null

    /** The number of requests that hold a permit. */
    var running = 0
        private set

    /** The moving average of the duration of an attempt. */
    var usual: Duration = INITIAL_TIME
        private set

    /** Whether [usual] has been measured, rather than being the initial estimate. */
    val isMeasured: Boolean get() = lastServed > Moment.PAST

    /** The number of requests that may run at the upstream at present. */
    val currentLimit: Int get() = if (failures > 0) 1 else limit.toInt()

    /**
     * Whether the upstream can take another request at [now]. After a failure it gets one attempt at a time, each after
     * a pause.
     */
    fun isFree(now: Moment): Boolean =
        running < currentLimit && now >= suspectUntil && hasColdToken(now) && !isStalled(now)

    /** Whether the last attempt failed. */
    val isSuspect: Boolean get() = failures > 0

    /** Whether requests have been running for much longer than average without a single answer. */
    fun isStalled(now: Moment): Boolean {
        val since = maxOf(busySince, lastServed)
        return running >= minOf(ceiling, STALL_RUNNING) && now - since > maxOf(settings.stall, usual * STALL_FACTOR)
    }

    /**
     * The expected duration of a request that starts at [now]. It grows with the share of permits in use, and with the
     * slowness that the upstream last reported of its machine, which is ignored once it is out of date.
     */
    fun expected(now: Moment): Duration {
        val isFresh = slownessAt + SLOWNESS_AGE > now
        val present = if (isFresh) maxOf(1.0, slowness) else 1.0
        return usual * present * (1.0 + CROWDING * running / currentLimit)
    }

    /** The expected throughput in requests per second; while the upstream is cold, at most the cold-start rate. */
    fun rate(now: Moment): Double {
        val carried = currentLimit / expected(now).toDouble(DurationUnit.SECONDS)
        val cold = coldBucket ?: return carried
        return if (now < coldUntil) minOf(carried, cold.rate) else carried
    }

    /** The time that remains of the pause after a refused or failed attempt. */
    fun pauseLeft(now: Moment): Duration = maxOf(Duration.ZERO, suspectUntil - now)

    /** Takes a permit; the caller has checked [isFree]. */
    fun takePermit(now: Moment) {
        if (running == 0) busySince = now
        running++
        if (now < coldUntil) coldBucket?.take(1, now)
    }

    private fun hasColdToken(now: Moment): Boolean = now >= coldUntil || (coldBucket?.level(now) ?: 1.0) >= 1.0

    /** Returns a permit after an attempt that took [duration] and ended with [result]. */
    fun returnPermit(result: PlaceResult, duration: Duration, slowness: Double?, now: Moment) {
        running = maxOf(0, running - 1)
        if (slowness != null) {
            this.slowness = slowness
            slownessAt = now
        }
        when (result) {
            PlaceResult.Served -> served(duration)
            PlaceResult.Busy -> {
                limit = maxOf(1.0, limit / 2)
                pause(now, BUSY_PAUSE)
            }
            PlaceResult.Refused -> pause(now, BUSY_PAUSE)
            PlaceResult.Unreachable -> failed(now)
            PlaceResult.Broken -> if (lastServed <= now - duration) failed(now)
            PlaceResult.Unused -> Unit
        }
        if (result == PlaceResult.Served) lastServed = now
    }

    /** Applies [newCeiling], and until [cold] the rate that [coldStart] allows a cold upstream. */
    fun redefine(newCeiling: Int, coldStart: ColdStart?, cold: Moment, now: Moment) {
        ceiling = newCeiling
        limit = minOf(limit, newCeiling.toDouble())
        if (cold == coldUntil) return
        coldUntil = cold
        coldBucket = coldStart?.let { TokenBucket(it.ratePerSecond * COLD_PART, capacity = COLD_BURST, since = now) }
    }

    /** Ends the current pause, because the upstream's state has changed. */
    fun retryNow() {
        suspectUntil = Moment.PAST
    }

    private fun served(duration: Duration) {
        failures = 0
        usual = if (isMeasured) usual * (1 - SMOOTHING) + duration * SMOOTHING else duration
        limit = minOf(ceiling.toDouble(), limit + GROWTH / limit)
    }

    private fun failed(now: Moment) {
        failures++
        limit = 1.0
        val doubled = settings.backoff * (1 shl minOf(failures - 1, MAX_DOUBLINGS))
        pause(now, minOf(doubled, settings.maxBackoff))
    }

    private fun pause(now: Moment, duration: Duration) {
        suspectUntil = maxOf(suspectUntil, now + duration)
    }

    private companion object {
        const val COLD_BURST = 2.0

        /** While VMs join or leave, two may act as home of one upstream; their combined rate must not overload it. */
        const val COLD_PART = 0.75
        const val STALL_FACTOR = 6

        /** A single slow request does not show that the upstream has stalled. */
        const val STALL_RUNNING = 2
        const val CROWDING = 0.3
        val SLOWNESS_AGE = 300.milliseconds
        const val SMOOTHING = 0.1
        const val GROWTH = 0.25
        const val MAX_DOUBLINGS = 4
        val INITIAL_TIME = 5.milliseconds
        val BUSY_PAUSE = 2.milliseconds
    }
}
