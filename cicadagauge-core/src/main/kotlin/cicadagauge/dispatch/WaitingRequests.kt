/*
 * The plan for the requests that wait for one upstream or for the upstreams of one zone. Those that can be answered
 * within their target latency are timely and served first. The others are late: they get the permits that are left
 * over, and are denied as soon as these are not expected to suffice before their deadlines.
 */
package cicadagauge.dispatch

import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The queued requests of one target. The methods get the [ServiceForecast] of the upstreams that serve it. */
internal class WaitingRequests {
    private val timely = FairQueue<Reservation>()
    private val late = FairQueue<Reservation>()
    private val timelyArrivals = ArrivalRate()

    /** The number of waiting requests. */
    val size: Int get() = timely.size + late.size

    /** The number of waiting requests of [customer]. */
    fun countOf(customer: CustomerName): Int = timely.countOf(customer) + late.countOf(customer)

    /** The expected wait of [reservation], if it were added now. */
    fun expectedWait(reservation: Reservation, forecast: ServiceForecast, now: Moment): Duration {
        val wait = timelyWait(reservation, forecast)
        if (isTimely(reservation, wait, forecast, now)) return wait
        return lateWait(late.countAhead(reservation.requestClass, reservation.customer), forecast, now)
    }

    /** Adds [reservation]. */
    fun add(reservation: Reservation, forecast: ServiceForecast, now: Moment) {
        if (isTimely(reservation, timelyWait(reservation, forecast), forecast, now)) {
            timelyArrivals.record(now)
            timely.add(reservation)
        } else {
            late.add(reservation)
        }
    }

    /** Removes and returns the next request for an upstream that takes [duration] on average, or null. */
    fun poll(duration: Duration, now: Moment): Reservation? {
        while (true) {
            val reservation = timely.poll() ?: return late.poll()
            if (now <= latestTimelyStart(reservation, duration)) return reservation
            late.add(reservation)
        }
    }

    /**
     * Plans anew: requests that will not be answered in time after all become late, late ones that will be become
     * timely. Removes and returns those that can't be served before their deadlines.
     */
    fun replan(forecast: ServiceForecast, now: Moment): List<Reservation> {
        timely.removeByPosition { reservation, ahead ->
            now + forecast.waitBehind(ahead) > latestTimelyStart(reservation, forecast.duration)
        }.forEach(late::add)
        var promoted = 0
        late.removeIf { reservation ->
            val wait = forecast.waitBehind(timely.size + promoted)
            isTimely(reservation, wait, forecast, now).also { if (it) promoted++ }
        }.forEach(timely::add)
        return late.removeByPosition { reservation, ahead ->
            val margin = if (reservation.hasTarget) Duration.ZERO else DENIAL_MARGIN
            now + lateWait(ahead, forecast, now) > reservation.latestStart(forecast.duration) + margin
        }
    }

    /** The expected wait of a late request that is added last. */
    fun longestWait(forecast: ServiceForecast, now: Moment): Duration = lateWait(late.size, forecast, now)

    /** Removes and returns all requests. */
    fun drain(): List<Reservation> = timely.drain() + late.drain()

    /** Removes and returns the requests that [predicate] accepts. */
    fun removeIf(predicate: (Reservation) -> Boolean): List<Reservation> =
        timely.removeIf(predicate) + late.removeIf(predicate)

    private fun timelyWait(reservation: Reservation, forecast: ServiceForecast): Duration =
        forecast.waitBehind(timely.countAhead(reservation.requestClass, reservation.customer))

    private fun isTimely(reservation: Reservation, wait: Duration, forecast: ServiceForecast, now: Moment): Boolean {
        val margin = if (reservation.hasTarget) ESTIMATE_MARGIN else 1.0
        return now + wait * margin <= latestTimelyStart(reservation, forecast.duration)
    }

    /** The latest moment at which [reservation] can be started to be timely, if it runs for [duration]. */
    private fun latestTimelyStart(reservation: Reservation, duration: Duration): Moment =
        if (reservation.hasTarget) reservation.inTimeBy - duration else reservation.latestStart(duration)

    /** The wait behind all timely requests and [ahead] late ones, while further timely requests go before them. */
    private fun lateWait(ahead: Int, forecast: ServiceForecast, now: Moment): Duration {
        val overtaking = minOf(MAX_OVERTAKING_SHARE, timelyArrivals.perSecond(now) / forecast.averageRate)
        return forecast.waitBehind(timely.size + ahead) / (1.0 - overtaking)
    }

    private companion object {
        /** The factor by which a timely request may have to wait longer than estimated. */
        const val ESTIMATE_MARGIN = 1.2

        /** The largest share of the throughput that is expected to go to later timely requests. */
        const val MAX_OVERTAKING_SHARE = 0.5

        /** A queued request is not denied when the estimate exceeds its deadline only slightly. */
        val DENIAL_MARGIN: Duration = 30.milliseconds
    }
}
