/*
 * The requests that wait for the upstreams of one target, in two parts: those that can still be answered by the time at
 * which they are wanted, and late ones, which get a permit only while none of the others waits.
 *
 * The load pattern that this answers is a key, or a pool, that is asked for more often than it can serve. In a single
 * queue every request then waits until it is late, although as many as before are served. Here those that are served
 * are in time, and the others are refused at once or use what capacity is left over.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a target can do at a moment.
 *
 * @property pause the time until it can take a request, apart from those that wait
 * @property rate the requests per second that it can serve
 * @property isFree whether it can take a request now
 * @property run the usual duration of a request there
 */
internal class TargetCapacity(val pause: Duration, val rate: Double, val isFree: Boolean, val run: Duration) {
    /** The expected wait of a request with [ahead] others before it, if it is served at [rate]. */
    fun waitBehind(ahead: Int): Duration = when {
        ahead == 0 && isFree -> Duration.ZERO
        rate <= 0.0 -> Duration.INFINITE
        else -> pause + ((ahead + MEAN_COMPLETION_FRACTION) / rate).seconds
    }

    private companion object {
        /** With all permits taken, the first is free after half the interval between two completions on average. */
        const val MEAN_COMPLETION_FRACTION = 0.5
    }
}

/** The queue in front of one target. */
internal class DispatchQueue {
    private val onTime = FairQueue<Reservation>()
    private val late = FairQueue<Reservation>()
    private val busyPeriod = BusyPeriod()

    /** The number of requests that wait. */
    val size: Int get() = onTime.size + late.size

    /** The number of requests of [customer] that wait. */
    fun countOf(customer: CustomerName): Int = onTime.countOf(customer) + late.countOf(customer)

    /** The expected wait of a new request of [requestClass] and [customer], if it can be answered in time. */
    fun expectedWait(requestClass: RequestClass, customer: CustomerName, capacity: TargetCapacity): Duration =
        capacity.waitBehind(onTime.countAhead(requestClass, customer))

    /** When a request that is refused now may find room. */
    fun retryAfter(capacity: TargetCapacity): Duration = maxOf(capacity.waitBehind(onTime.size), MIN_RETRY_AFTER)

    /** Queues [reservation] where it can be served before its deadline; otherwise returns false. */
    fun offer(reservation: Reservation, capacity: TargetCapacity, now: Moment): Boolean {
        val wait = expectedWait(reservation.requestClass, reservation.customer, capacity)
        val hasTarget = reservation.wantedBy < reservation.deadline
        val run = capacity.run * if (hasTarget) EXPECTED_RUN_FACTOR else MIN_RUN_FRACTION
        if (now + wait + run <= reservation.wantedBy) {
            add(reservation, now)
            return true
        }
        val canBeLate = hasTarget && canServeLate(reservation, ahead = size, capacity = capacity, now = now)
        if (canBeLate) late.add(reservation)
        return canBeLate
    }

    /** Queues [reservation] without a check. */
    fun add(reservation: Reservation, now: Moment) {
        onTime.add(reservation)
        busyPeriod.requestAdded(reservation.wantedBy - reservation.since, now)
    }

    /** Removes and returns the next request; [run] is the usual duration at the upstream that would run it. */
    fun poll(run: Duration, now: Moment): Reservation? {
        while (true) {
            val next = onTime.poll()
            if (onTime.size == 0) busyPeriod.queueEmptied(now)
            if (next == null) return late.poll()
            val isInTime = now + run * MIN_RUN_FRACTION <= next.wantedBy || next.wantedBy >= next.deadline
            if (isInTime) return next
            late.add(next)
        }
    }

    /**
     * Moves the requests that can no longer be answered in time behind the others, and removes and returns those that
     * can no longer be served before their deadlines.
     */
    fun removeUnservable(capacity: TargetCapacity, now: Moment): List<Reservation> {
        val limit = now + capacity.run * MIN_RUN_FRACTION
        val overtaken = onTime.removeByPosition { reservation, ahead ->
            limit + capacity.waitBehind(ahead) > reservation.wantedBy + DENIAL_MARGIN
        }
        val (demoted, unservable) = overtaken.partition { it.wantedBy < it.deadline }
        demoted.forEach(late::add)
        if (onTime.size == 0) busyPeriod.queueEmptied(now)
        val hopeless = late.removeByPosition { reservation, ahead ->
            !canServeLate(reservation, onTime.size + ahead, capacity, now - DENIAL_MARGIN)
        }
        return unservable + hopeless
    }

    /** Removes and returns the requests that [predicate] accepts. */
    fun removeIf(predicate: (Reservation) -> Boolean): List<Reservation> =
        onTime.removeIf(predicate) + late.removeIf(predicate)

    /** Removes and returns all requests, the late ones last. */
    fun drain(): List<Reservation> = onTime.drain() + late.drain()

    /**
     * Whether a late request behind [ahead] others can be served before its deadline. It can't while those in time
     * leave no capacity over.
     */
    private fun canServeLate(reservation: Reservation, ahead: Int, capacity: TargetCapacity, now: Moment): Boolean {
        if (busyPeriod.isLasting(reservation.wantedBy - reservation.since, now)) return false
        return now + capacity.waitBehind(ahead) + capacity.run * MIN_RUN_FRACTION <= reservation.deadline
    }

    companion object {
        /**
         * The fraction of the average duration that must be left before the deadline for a request to start. With less
         * time it would most likely only use up a permit.
         */
        const val MIN_RUN_FRACTION = 0.7

        /** The same where a request is queued to be answered in time: most of them take less. */
        private const val EXPECTED_RUN_FACTOR = 1.25

        /** A queued request is not denied when the estimate exceeds its deadline only slightly. */
        private val DENIAL_MARGIN: Duration = 0.03.seconds
        private val MIN_RETRY_AFTER: Duration = 0.05.seconds
    }
}
