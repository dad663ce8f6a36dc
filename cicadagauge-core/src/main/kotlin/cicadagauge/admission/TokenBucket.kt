package cicadagauge.admission

import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A token bucket that fills at [rate] tokens per second up to [capacity] and starts empty at [since]. */
internal class TokenBucket(rate: Double, private var capacity: Double, private var since: Moment) {
    private var level = 0.0

    /** The refill rate in tokens per second. */
    var rate = rate
        private set

    /** The number of tokens at [now]. */
    fun level(now: Moment): Double {
        accrue(now)
        return level
    }

    /** Takes up to [wanted] whole tokens and returns how many were taken. */
    fun take(wanted: Int, now: Moment): Int {
        accrue(now)
        val taken = minOf(wanted, level.toInt())
        level -= taken
        return taken
    }

    /** Changes the rate and the capacity from [now] on; tokens above the new capacity are discarded. */
    fun resize(newRate: Double, newCapacity: Double, now: Moment) {
        accrue(now)
        rate = newRate
        capacity = newCapacity
        level = minOf(level, capacity)
    }

    /** Discards all tokens; none accrue before [from]. */
    fun empty(from: Moment) {
        level = 0.0
        since = from
    }

    /** The time from [now] until [tokens] whole tokens have accrued, even if the bucket can't hold as many at once. */
    fun timeUntil(tokens: Int, now: Moment): Duration {
        accrue(now)
        val missing = tokens - level
        return when {
            missing <= 0.0 -> Duration.ZERO
            rate <= 0.0 -> Duration.INFINITE
            else -> (missing / rate).seconds
        }
    }

    private fun accrue(now: Moment) {
        if (now <= since) return
        level = minOf(capacity, level + rate * (now - since).toDouble(DurationUnit.SECONDS))
        since = now
    }
}
