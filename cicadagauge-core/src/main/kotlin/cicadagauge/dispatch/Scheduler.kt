/*
 * Decides which request runs next at which upstream of one pool. Only the scheduler of the home VM grants permits. Its
 * state is soft: if two VMs act as home at the same time, scheduling is less efficient, but slot ownership stays safe.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.DispatchSettings
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.HeatBucket
import cicadagauge.ownership.UpstreamTime
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PermitResult
import cicadagauge.routing.OwnerDirectory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request for a permit to run at an upstream.
 *
 * @property entry the VM that asks
 * @property slot the slot of the request's key; null for a pool without keys
 * @property zone the availability zone that is to serve a request without a key
 * @property inTimeBy until when an answer is in time; later ones are worth less to the caller
 * @property maySpill whether the request should rather be denied than wait long, because it can try another zone
 * @property since when the reservation arrived
 */
internal data class Reservation(
    val entry: VmId,
    val id: RequestId,
    val slot: Slot?,
    override val requestClass: RequestClass,
    override val customer: CustomerName,
    val deadline: Moment,
    val inTimeBy: Moment,
    val zone: AvailabilityZone?,
    val maySpill: Boolean,
    val since: Moment,
) : FairQueue.Item {
    /** Whether there are answers before the deadline that are not in time. */
    val hasTarget: Boolean get() = inTimeBy < deadline

    /**
     * The latest moment at which the request may start, if it runs for [duration] on average. Started later, it would
     * most likely only use up a permit. Where late answers are worth less, that is not risked.
     */
    fun latestStart(duration: Duration): Moment =
        deadline - duration * (if (hasTarget) RUN_FACTOR_WITH_TARGET else MIN_RUN_FRACTION)

    private companion object {
        const val MIN_RUN_FRACTION = 0.7
        const val RUN_FACTOR_WITH_TARGET = 1.2
    }
}

/**
 * What a queued request waits for: the upstream [owner], or any upstream in [zone]. With neither, it waits until its
 * slot has an owner again.
 */
internal data class Target(val owner: UpstreamId?, val zone: AvailabilityZone? = null)

/** Receives the decisions of a [Scheduler]. */
internal interface SchedulerOutput {
    /** [reservation] has been granted a permit for [upstream]. */
    fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment)

    /** [reservation] has been denied. */
    fun denied(reservation: Reservation, refusal: Refusal, now: Moment)
}

/** Schedules the requests of [pool]. [coldUntil] returns the end of an upstream's cold start. */
internal class Scheduler(
    private var pool: Pool,
    private val owners: OwnerDirectory,
    private val settings: DispatchSettings,
    private val output: SchedulerOutput,
    private val coldUntil: (UpstreamId) -> Moment = { Moment.PAST },
) {
    private val loads = LinkedHashMap<UpstreamId, UpstreamLoad>()
    private val poolDurations = DurationAverage()
    private val usable = HashSet<UpstreamId>()
    private val outOfService = OutOfServiceTimes(settings)
    private val queues = HashMap<Target, WaitingRequests>()
    private val expectedReturns = HashMap<Target, ExpectedReturns>()
    private val permits = HashMap<ReservationKey, Permit>()
    private val queued = HashSet<ReservationKey>()
    private val requestsPerBucket = HashMap<Int, Int>()
    private var rotation = 0

    /** Whether any request is queued or holds a permit. */
    val isActive: Boolean get() = queued.isNotEmpty() || permits.isNotEmpty()

    /** Applies [newPool] and the state of its upstreams in [declaration]. */
    fun configure(newPool: Pool, declaration: Declaration, now: Moment) {
        pool = newPool
        loads.keys.retainAll(newPool.upstreams.map { it.id }.toSet())
        for (upstream in newPool.upstreams) {
            // What is known about the load of an upstream does not apply to a new process.
            if (loads[upstream.id]?.upstream?.run != upstream.run) loads -= upstream.id
            loads.getOrPut(upstream.id) {
                UpstreamLoad(upstream, upstream.concurrency ?: newPool.concurrency, settings, poolDurations)
            }.reconfigure(upstream.concurrency ?: newPool.concurrency, newPool.coldStart, coldUntil(upstream.id), now)
        }
        usable.clear()
        newPool.upstreams.filterNot(declaration::isOut).forEach { usable += it.id }
        outOfService.configure(newPool.upstreams, declaration, now)
        ownersChanged(now)
    }

    /** Queues [reservation], or denies it at once if it cannot be served in time. Idempotent. */
    fun reserve(reservation: Reservation, now: Moment) {
        val key = ReservationKey(reservation.entry, reservation.id)
        val permit = permits[key]
        if (permit != null) return output.reserved(reservation, permit.upstream, now)
        if (key in queued) return
        countRequest(reservation)
        val target = targetOf(reservation)
        val queue = queues.getOrPut(target) { WaitingRequests() }
        val forecast = forecast(target, now)
        val refusal = denialFor(reservation, target, queue, forecast, now)
        if (refusal != null) return output.denied(reservation, refusal, now)
        queue.add(reservation, forecast, now)
        queued += key
        grantPermits(target, now)
    }

    /** Returns the permit of a request of VM [entry], or removes the request from its queue. */
    fun release(entry: VmId, message: PeerMessage.Release, now: Moment) {
        val key = ReservationKey(entry, message.id)
        val permit = permits.remove(key) ?: return withdraw(key)
        loads[permit.upstream]?.returnPermit(message.result, message.duration, message.slowness, now)
        grantPermits(targetOf(permit.upstream), now)
    }

    /**
     * Reclaims the permits of VM [entry] that are not in [ids], the list of those it uses: their release messages were
     * lost. Permits granted within the last two reporting intervals are kept, since the list may be older than them.
     */
    fun reconcile(entry: VmId, ids: Set<RequestId>, now: Moment) {
        val cutoff = now - settings.permitReportInterval * 2
        reclaim(permits.filter { (key, permit) -> key.entry == entry && permit.since < cutoff && key.id !in ids }, now)
    }

    /** Requeues all waiting requests, because the pool's owners or upstreams have changed. */
    fun ownersChanged(now: Moment) {
        val waiting = queues.values.flatMap { it.drain() }
        queues.clear()
        loads.values.forEach { it.endPause() }
        for (reservation in waiting) {
            val target = targetOf(reservation)
            queues.getOrPut(target) { WaitingRequests() }.add(reservation, forecast(target, now), now)
        }
        queues.keys.toList().forEach { grantPermits(it, now) }
    }

    /**
     * Denies requests that can no longer be served in time, reclaims expired permits (those of lost VMs), and grants
     * permits of upstreams whose pause has ended.
     */
    fun sweep(now: Moment) {
        // Iterates over a copy: a request that is denied here may be queued again at once, for another zone.
        for ((target, queue) in queues.entries.map { it.key to it.value }) {
            queue.removeIf { it.deadline <= now }.forEach { deny(it, DEADLINE_BEFORE_RUN, now) }
            if (target == NO_CURRENT_OWNER) {
                queue.removeIf { it.since + settings.ownerWait <= now }.forEach { deny(it, OWNER_UNAVAILABLE, now) }
            } else if (isOutOfService(target, now)) {
                queue.drain().forEach { deny(it, OUT_OF_SERVICE, now) }
            } else if (isStalled(target, now)) {
                queue.drain().forEach { deny(it, STALLED, now) }
            } else if (queue.size > 0) {
                denyUnservable(target, queue, now)
            }
        }
        reclaim(permits.filterValues { it.expiresAt <= now }, now)
        queues.keys.toList().forEach { grantPermits(it, now) }
    }

    /**
     * Returns and resets the request counts since the last report, for buckets of [HeatBucket.SLOTS] adjacent slots,
     * with the average durations of the upstreams. Only the requests of pools that are placed by ranges are counted;
     * null if there were none.
     */
    fun takeLoadReport(): PeerMessage.Heat? {
        if (requestsPerBucket.isEmpty()) return null
        val buckets = requestsPerBucket.map { (index, requests) -> HeatBucket(index, requests) }
        val times = loads.values.mapNotNull { load ->
            load.measuredDuration?.let { UpstreamTime(load.upstream.id, it) }
        }
        requestsPerBucket.clear()
        return PeerMessage.Heat(pool.name, buckets, times)
    }

    private fun countRequest(reservation: Reservation) {
        val slot = reservation.slot
        if (slot == null || pool.placement != Placement.Ranges) return
        requestsPerBucket.merge(slot.index / HeatBucket.SLOTS, 1, Int::plus)
    }

    private fun reclaim(reclaimed: Map<ReservationKey, Permit>, now: Moment) {
        for ((key, permit) in reclaimed) {
            permits.remove(key)
            loads[permit.upstream]?.returnPermit(PermitResult.Unused, Duration.ZERO, slowness = null, now = now)
        }
    }

    private fun deny(reservation: Reservation, refusal: Refusal, now: Moment) {
        queued -= ReservationKey(reservation.entry, reservation.id)
        output.denied(reservation, refusal, now)
    }

    /** Whether the owner of the keys of [target] gets no more requests for them, because it is out of service. */
    private fun isOutOfService(target: Target, now: Moment): Boolean =
        target.owner?.let { !outOfService.mayServe(it, now) } ?: false

    /** Whether all upstreams of [target] have stalled, so that waiting for them is pointless. */
    private fun isStalled(target: Target, now: Moment): Boolean {
        val serving = upstreamsOf(target)
        return serving.isNotEmpty() && serving.all { it.isStalled(now) }
    }

    private fun withdraw(key: ReservationKey) {
        if (!queued.remove(key)) return
        queues.values.forEach { queue -> queue.removeIf { it.entry == key.entry && it.id == key.id } }
    }

    private fun targetOf(reservation: Reservation): Target {
        val slot = reservation.slot ?: return Target(owner = null, zone = reservation.zone)
        return Target(owners[pool.name]?.ownerOf(slot))
    }

    private fun targetOf(upstream: UpstreamId): Target =
        if (pool.keyed) Target(upstream) else Target(owner = null, zone = loads[upstream]?.upstream?.zone)

    private fun grantPermits(target: Target, now: Moment) {
        val queue = queues[target] ?: return
        while (queue.size > 0) {
            val load = freeUpstream(target, now) ?: return
            val reservation = pollServable(queue, load, now) ?: return
            val key = ReservationKey(reservation.entry, reservation.id)
            queued -= key
            load.takePermit(now)
            permits[key] = Permit(load.upstream.id, now, reservation.deadline + settings.homeSuspicion)
            output.reserved(reservation, load.upstream.id, now)
        }
    }

    private fun freeUpstream(target: Target, now: Moment): UpstreamLoad? = when {
        target.owner != null -> loads[target.owner]?.takeIf { it.hasCapacity(now) && !isOutOfService(target, now) }
        target.zone != null -> fastestFreeIn(target.zone, now)
        else -> null
    }

    /** The free upstream of [zone] with the shortest expected duration, round-robin among equals. */
    private fun fastestFreeIn(zone: AvailabilityZone, now: Moment): UpstreamLoad? {
        val free = usableIn(zone).filter { it.hasCapacity(now) }
        if (free.isEmpty()) return null
        rotation++
        return free.indices.map { free[(it + rotation) % free.size] }
            .minWith(compareBy({ it.hasFailed }, { it.expectedDuration(now) }))
    }

    private fun usableIn(zone: AvailabilityZone): List<UpstreamLoad> =
        loads.values.filter { it.upstream.zone == zone && it.upstream.id in usable }

    private fun denialFor(
        reservation: Reservation,
        target: Target,
        queue: WaitingRequests,
        forecast: ServiceForecast,
        now: Moment,
    ): Refusal? {
        if (!pool.keyed && target.zone?.let(::usableIn).isNullOrEmpty()) {
            return Refusal(Reason.NoUpstream, "the pool has no upstream in service")
        }
        val wait = queue.expectedWait(reservation, forecast, now)
        if (queue.countOf(reservation.customer) >= settings.customerQueueLimit ||
            queued.size >= settings.poolQueueLimit
        ) {
            return Refusal(Reason.Overloaded, "too many requests wait", returnAfter(target, wait, forecast, now))
        }
        if (isOutOfService(target, now)) return OUT_OF_SERVICE
        if (isStalled(target, now)) return STALLED
        if (reservation.maySpill && wait > settings.spillWait) {
            return Refusal(Reason.Overloaded, "another zone may be sooner", wait)
        }
        if (now + wait <= reservation.latestStart(forecast.duration)) return null
        val retryAfter = returnAfter(target, wait, forecast, now)
        return Refusal(Reason.Overloaded, "the queue is longer than the deadline", retryAfter)
    }

    private fun forecast(target: Target, now: Moment) = ServiceForecast.of(upstreamsOf(target), now)

    /** After how long a caller who is refused now, because the wait is [wait], should come back. */
    private fun returnAfter(target: Target, wait: Duration, forecast: ServiceForecast, now: Moment): Duration =
        expectedReturns.getOrPut(target) { ExpectedReturns() }.next(wait, forecast.averageRate, now)

    /** Denies the requests that can no longer be answered before their deadlines, because too many others go first. */
    private fun denyUnservable(target: Target, queue: WaitingRequests, now: Moment) {
        val forecast = forecast(target, now)
        val unservable = queue.replan(forecast, now)
        val wait = queue.longestWait(forecast, now)
        for (reservation in unservable) {
            val retryAfter = returnAfter(target, wait, forecast, now)
            deny(reservation, Refusal(Reason.Overloaded, "others went before it", retryAfter), now)
        }
    }

    private fun upstreamsOf(target: Target): List<UpstreamLoad> =
        target.zone?.let(::usableIn) ?: listOfNotNull(loads[target.owner])

    /** Removes and returns the next request that can still be answered in time; denies those before it. */
    private fun pollServable(queue: WaitingRequests, load: UpstreamLoad, now: Moment): Reservation? {
        while (true) {
            val duration = load.averageDuration(now)
            val reservation = queue.poll(duration, now) ?: return null
            if (now <= reservation.latestStart(duration)) return reservation
            deny(reservation, DEADLINE_BEFORE_RUN, now)
        }
    }

    private data class ReservationKey(val entry: VmId, val id: RequestId)

    private class Permit(val upstream: UpstreamId, val since: Moment, val expiresAt: Moment)

    private companion object {
        val RETRY_AFTER: Duration = 200.milliseconds

        val NO_CURRENT_OWNER = Target(owner = null)
        val DEADLINE_BEFORE_RUN =
            Refusal(Reason.DeadlineBeforeRun, "the deadline came before a place was free", RETRY_AFTER)
        val OWNER_UNAVAILABLE = Refusal(Reason.OwnerUnavailable, "the key is on its way to another owner", RETRY_AFTER)
        val OUT_OF_SERVICE = Refusal(Reason.NoUpstream, "the owner of the key is out of service", RETRY_AFTER)
        val STALLED = Refusal(Reason.Overloaded, "the upstream has stopped to answer", RETRY_AFTER)
    }
}
