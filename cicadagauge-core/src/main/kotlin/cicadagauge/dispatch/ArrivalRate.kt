package cicadagauge.dispatch

import cicadagauge.identity.Moment
import kotlin.math.exp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The recent rate of arrivals, in which an arrival counts less the longer ago it was. */
internal class ArrivalRate {
    private var weight = 0.0
    private var since = Moment.ZERO

    /** Records an arrival at [now]. */
    fun record(now: Moment) {
        weight = weightAt(now) + 1.0
        since = now
    }

    /** The number of arrivals per second. */
    fun perSecond(now: Moment): Double = weightAt(now) / MEAN_AGE.toDouble(DurationUnit.SECONDS)

    private fun weightAt(now: Moment): Double = weight * exp(-((now - since) / MEAN_AGE))

    private companion object {
        val MEAN_AGE = 500.milliseconds
    }
}
