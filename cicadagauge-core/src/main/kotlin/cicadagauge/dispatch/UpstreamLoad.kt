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
 * What a home VM knows of one upstream from the attempts it let through: how many run, how many it carries and
 * how long they take. [ceiling] is the pool's concurrency. An attempt that broke is held against the upstream only
 * where it has answered nothing since the attempt began; otherwise the connection is to blame.
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

    /** Requests that have a place now. */
    var running = 0
        private set

    /** The usual time an attempt takes. */
    var usual: Duration = INITIAL_TIME
        private set

    /** Whether [usual] is a measurement. */
    val isMeasured: Boolean get() = lastServed > Moment.PAST

    /** Places that the upstream is trusted with now. */
    val places: Int get() = if (failures > 0) 1 else limit.toInt()

    /** Whether a place is free at [now]; a suspected upstream gets one attempt at a time, after a pause. */
    fun isFree(now: Moment): Boolean = running < places && now >= suspectUntil && hasColdToken(now) && !isStalled(now)

    /** Whether the last attempt failed. */
    val isSuspect: Boolean get() = failures > 0

    /** Whether requests have been running for much longer than usual and none has been answered. */
    fun isStalled(now: Moment): Boolean {
        val since = maxOf(busySince, lastServed)
        return running >= minOf(ceiling, STALL_RUNNING) && now - since > maxOf(settings.stall, usual * STALL_FACTOR)
    }

    /**
     * How long a request that begins at [now] should take. What the upstream says of its machine is soon out of date,
     * and a part of its places that is taken slows it down.
     */
    fun expected(now: Moment): Duration {
        val isFresh = slownessAt + SLOWNESS_AGE > now
        val present = if (isFresh) maxOf(1.0, slowness) else 1.0
        return usual * present * (1.0 + CROWDING * running / places)
    }

    /** How many requests a second it should finish: what its places carry, and no more than a cold one may. */
    fun rate(now: Moment): Double {
        val carried = places / expected(now).toDouble(DurationUnit.SECONDS)
        val cold = coldBucket ?: return carried
        return if (now < coldUntil) minOf(carried, cold.rate) else carried
    }

    /** How long it is given no request for, because it refused or broke the last one. */
    fun pauseLeft(now: Moment): Duration = maxOf(Duration.ZERO, suspectUntil - now)

    /** Takes a place. */
    fun take(now: Moment) {
        if (running == 0) busySince = now
        running++
        if (now < coldUntil) coldBucket?.take(1, now)
    }

    private fun hasColdToken(now: Moment): Boolean = now >= coldUntil || (coldBucket?.level(now) ?: 1.0) >= 1.0

    /** Gives a place back with its [result]. */
    fun giveBack(result: PlaceResult, duration: Duration, slowness: Double?, now: Moment) {
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

    /** Uses [newCeiling] from now on, and until [cold] keeps to what [coldStart] allows a cold upstream. */
    fun redefine(newCeiling: Int, coldStart: ColdStart?, cold: Moment, now: Moment) {
        ceiling = newCeiling
        limit = minOf(limit, newCeiling.toDouble())
        if (cold == coldUntil) return
        coldUntil = cold
        coldBucket = coldStart?.let { TokenBucket(it.ratePerSecond * COLD_PART, capacity = COLD_BURST, since = now) }
    }

    /** Ends a pause, because the upstream's state has changed. */
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

        /** While VMs come and go two of them may take themselves for home; both together must not overrun it. */
        const val COLD_PART = 0.75
        const val STALL_FACTOR = 6

        /** One request that takes long is no sign that the upstream stands still. */
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
