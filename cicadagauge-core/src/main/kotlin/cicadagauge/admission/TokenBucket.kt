package cicadagauge.admission

import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Tokens that accrue at [rate] a second up to [capacity]. It starts empty at [since]. */
internal class TokenBucket(rate: Double, private var capacity: Double, private var since: Moment) {
    private var level = 0.0

    /** Tokens that accrue in a second. */
    var rate = rate
        private set

    /** The tokens at [now]. */
    fun level(now: Moment): Double {
        accrue(now)
        return level
    }

    /** Takes up to [wanted] whole tokens and returns how many there were. */
    fun take(wanted: Int, now: Moment): Int {
        accrue(now)
        val taken = minOf(wanted, level.toInt())
        level -= taken
        return taken
    }

    /** Changes the rate and the capacity from [now] on; tokens above the new capacity are dropped. */
    fun resize(newRate: Double, newCapacity: Double, now: Moment) {
        accrue(now)
        rate = newRate
        capacity = newCapacity
        level = minOf(level, capacity)
    }

    /** Drops all tokens; none accrue before [from]. */
    fun empty(from: Moment) {
        level = 0.0
        since = from
    }

    /** How long after [now] one whole token will be there. */
    fun untilNext(now: Moment): Duration {
        accrue(now)
        val missing = 1.0 - level
        return if (missing <= 0.0 || rate <= 0.0) Duration.ZERO else (missing / rate).seconds
    }

    private fun accrue(now: Moment) {
        if (now <= since) return
        level = minOf(capacity, level + rate * (now - since).toDouble(DurationUnit.SECONDS))
        since = now
    }
}
