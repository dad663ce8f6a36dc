/*
 * Decides which request runs next at which upstream of one pool. The VM that is the pool's home runs the only
 * scheduler that counts; it is soft state, so two homes at once cost efficiency and never an owner's safety.
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
import cicadagauge.peer.PlaceResult
import cicadagauge.routing.OwnerDirectory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request, of VM [entry], that wants a place at an upstream. */
internal data class Reservation(
    val entry: VmId,
    val id: RequestId,
    val slot: Slot?,
    override val requestClass: RequestClass,
    override val customer: CustomerName,
    val deadline: Moment,
    val zone: AvailabilityZone?,
    val maySpill: Boolean,
    val since: Moment,
) : FairQueue.Item

/** What a request waits for: its [owner], or any upstream in [zone]; with neither, an owner that is on its way. */
internal data class Target(val owner: UpstreamId?, val zone: AvailabilityZone? = null)

/** Takes a scheduler's decisions. */
internal interface SchedulerOutput {
    /** [reservation] has a place at [upstream]. */
    fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment)

    /** [reservation] gets no place. */
    fun denied(reservation: Reservation, refusal: Refusal, now: Moment)
}

/** Schedules the requests of [pool]. */
internal class Scheduler(
    private var pool: Pool,
    private val owners: OwnerDirectory,
    private val settings: DispatchSettings,
    private val output: SchedulerOutput,
    private val coldUntil: (UpstreamId) -> Moment = { Moment.PAST },
) {
    private val loads = LinkedHashMap<UpstreamId, UpstreamLoad>()
    private val usable = HashSet<UpstreamId>()
    private val queues = HashMap<Target, FairQueue<Reservation>>()
    private val running = HashMap<Place, Running>()
    private val queued = HashSet<Place>()
    private val asked = HashMap<Int, Int>()
    private var turn = 0

    /** Whether any request waits or has a place. */
    val isActive: Boolean get() = queued.isNotEmpty() || running.isNotEmpty()

    /** Takes the pool's part of [declaration] over. */
    fun configure(newPool: Pool, declaration: Declaration, now: Moment) {
        pool = newPool
        loads.keys.retainAll(newPool.upstreams.map { it.id }.toSet())
        for (upstream in newPool.upstreams) {
            if (loads[upstream.id]?.upstream?.run != upstream.run) loads -= upstream.id
            loads.getOrPut(upstream.id) {
                UpstreamLoad(upstream, newPool.concurrency, settings)
            }.redefine(upstream.concurrency ?: newPool.concurrency, newPool.coldStart, coldUntil(upstream.id), now)
        }
        usable.clear()
        newPool.upstreams.filterNot(declaration::isOut).forEach { usable += it.id }
        ownersChanged(now)
    }

    /** Queues [reservation], or denies it at once where it can't be served in time. */
    fun reserve(reservation: Reservation, now: Moment) {
        val place = Place(reservation.entry, reservation.id)
        val held = running[place]
        if (held != null) return output.reserved(reservation, held.upstream, now)
        if (place in queued) return
        count(reservation)
        val target = targetOf(reservation)
        val queue = queues.getOrPut(target) { FairQueue() }
        val refusal = whyNot(reservation, target, queue, now)
        if (refusal != null) return output.denied(reservation, refusal, now)
        queue.add(reservation)
        queued += place
        serve(target, now)
    }

    /** Takes the place of [entry]'s request back, or removes it from its queue. */
    fun release(entry: VmId, message: PeerMessage.Release, now: Moment) {
        val place = Place(entry, message.id)
        val held = running.remove(place) ?: return withdraw(place)
        loads[held.upstream]?.giveBack(message.result, message.duration, message.slowness, now)
        serve(targetOf(held.upstream), now)
    }

    /** Frees the places of VM [entry] that it does not know of: the word that they are free was lost. */
    fun reconcile(entry: VmId, ids: Set<RequestId>, now: Moment) {
        val settled = now - settings.holding * 2
        free(running.filter { (place, held) -> place.entry == entry && held.since < settled && place.id !in ids }, now)
    }

    /** Sorts the waiting requests anew, after the pool's owners or upstreams have changed. */
    fun ownersChanged(now: Moment) {
        val waiting = queues.values.flatMap { it.drain() }
        queues.clear()
        loads.values.forEach { it.retryNow() }
        waiting.forEach { queues.getOrPut(targetOf(it)) { FairQueue() }.add(it) }
        queues.keys.toList().forEach { serve(it, now) }
    }

    /** Denies requests whose time has run out, forgets places of lost VMs and ends pauses. */
    fun sweep(now: Moment) {
        // A request that is denied here may come back at once for another zone.
        for ((target, queue) in queues.entries.map { it.key to it.value }) {
            queue.removeIf { it.deadline <= now }.forEach { deny(it, TOO_LATE, now) }
            if (target == ON_ITS_WAY) {
                queue.removeIf { it.since + settings.ownerWait <= now }.forEach { deny(it, NO_OWNER, now) }
            } else if (isStalled(target, now)) {
                queue.drain().forEach { deny(it, STALLED, now) }
            } else if (queue.size > 0) {
                denyHopeless(target, queue, now)
            }
        }
        free(running.filterValues { it.expires <= now }, now)
        queues.keys.toList().forEach { serve(it, now) }
    }

    /** What the slots of a pool that is placed by ranges were asked for since the last report; null where nothing. */
    fun takeHeat(): PeerMessage.Heat? {
        if (asked.isEmpty()) return null
        val buckets = asked.map { (index, requests) -> HeatBucket(index, requests) }
        val times = loads.values.filter { it.isMeasured }.map { UpstreamTime(it.upstream.id, it.usual) }
        asked.clear()
        return PeerMessage.Heat(pool.name, buckets, times)
    }

    private fun count(reservation: Reservation) {
        val slot = reservation.slot
        if (slot == null || pool.placement != Placement.Ranges) return
        asked.merge(slot.index / HeatBucket.SLOTS, 1, Int::plus)
    }

    private fun free(lost: Map<Place, Running>, now: Moment) {
        for ((place, held) in lost) {
            running.remove(place)
            loads[held.upstream]?.giveBack(PlaceResult.Unused, Duration.ZERO, slowness = null, now = now)
        }
    }

    private fun deny(reservation: Reservation, refusal: Refusal, now: Moment) {
        queued -= Place(reservation.entry, reservation.id)
        output.denied(reservation, refusal, now)
    }

    /** Whether nobody at [target] has answered for so long that waiting there is no use. */
    private fun isStalled(target: Target, now: Moment): Boolean {
        val serving = servingOf(target)
        return serving.isNotEmpty() && serving.all { it.isStalled(now) }
    }

    private fun withdraw(place: Place) {
        if (!queued.remove(place)) return
        queues.values.forEach { queue -> queue.removeIf { it.entry == place.entry && it.id == place.id } }
    }

    private fun targetOf(reservation: Reservation): Target {
        val slot = reservation.slot ?: return Target(owner = null, zone = reservation.zone)
        return Target(owners[pool.name]?.ownerOf(slot))
    }

    private fun targetOf(upstream: UpstreamId): Target =
        if (pool.keyed) Target(upstream) else Target(owner = null, zone = loads[upstream]?.upstream?.zone)

    private fun serve(target: Target, now: Moment) {
        val queue = queues[target] ?: return
        while (queue.size > 0) {
            val load = free(target, now) ?: return
            val reservation = next(queue, load, now) ?: return
            val place = Place(reservation.entry, reservation.id)
            queued -= place
            load.take(now)
            running[place] = Running(load.upstream.id, now, reservation.deadline + settings.homeSuspicion)
            output.reserved(reservation, load.upstream.id, now)
        }
    }

    private fun free(target: Target, now: Moment): UpstreamLoad? = when {
        target.owner != null -> loads[target.owner]?.takeIf { it.isFree(now) }
        target.zone != null -> pick(target.zone, now)
        else -> null
    }

    /** The free upstream of [zone] that should be done first, in turn among equals. */
    private fun pick(zone: AvailabilityZone, now: Moment): UpstreamLoad? {
        val free = usableIn(zone).filter { it.isFree(now) }
        if (free.isEmpty()) return null
        turn++
        return free.indices.map { free[(it + turn) % free.size] }
            .minWith(compareBy({ it.isSuspect }, { it.expected(now) }))
    }

    private fun usableIn(zone: AvailabilityZone): List<UpstreamLoad> =
        loads.values.filter { it.upstream.zone == zone && it.upstream.id in usable }

    private fun whyNot(
        reservation: Reservation,
        target: Target,
        queue: FairQueue<Reservation>,
        now: Moment,
    ): Refusal? {
        if (!pool.keyed &&
            target.zone?.let(::usableIn).isNullOrEmpty()
        ) {
            return Refusal(Reason.NoUpstream, "the pool has no upstream in service")
        }
        if (queue.countOf(reservation.customer) >= settings.queuedPerCustomer ||
            queued.size >= settings.queuedPerPool
        ) {
            return Refusal(Reason.Overloaded, "too many requests wait", expectedWait(target, reservation, queue, now))
        }
        if (isStalled(target, now)) return STALLED
        val wait = expectedWait(target, reservation, queue, now)
        if (reservation.maySpill && wait > settings.spillWait) {
            return Refusal(Reason.Overloaded, "another zone may be sooner", wait)
        }
        if (now + wait + usualTime(target) * RUN_PART <= reservation.deadline) return null
        return Refusal(Reason.Overloaded, "the queue is longer than the deadline", wait)
    }

    private fun expectedWait(
        target: Target,
        reservation: Reservation,
        queue: FairQueue<Reservation>,
        now: Moment,
    ): Duration = waits(target, now)(queue.ahead(reservation.requestClass, reservation.customer))

    /** How long a request should wait at [target] by how many are before it; without a free place one must end. */
    private fun waits(target: Target, now: Moment): (ahead: Int) -> Duration {
        val serving = servingOf(target)
        if (serving.isEmpty()) return { Duration.ZERO }
        val isFree = serving.any { it.isFree(now) }
        val pause = serving.minOf { it.pauseLeft(now) }
        val rate = serving.sumOf { it.rate(now) }
        return { ahead -> if (ahead == 0 && isFree) Duration.ZERO else pause + ((ahead + UNTIL_FREE) / rate).seconds }
    }

    /** Denies those that have been overtaken by so many that they can't be answered in time any more. */
    private fun denyHopeless(target: Target, queue: FairQueue<Reservation>, now: Moment) {
        val run = usualTime(target) * RUN_PART
        val wait = waits(target, now)
        val hopeless = queue.removeByPosition { reservation, ahead ->
            now + wait(ahead) + run > reservation.deadline + HOPELESS_MARGIN
        }
        val refusal = Refusal(Reason.Overloaded, "others went before it", wait(queue.size))
        hopeless.forEach { deny(it, refusal, now) }
    }

    private fun servingOf(target: Target): List<UpstreamLoad> =
        target.zone?.let(::usableIn) ?: listOfNotNull(loads[target.owner])

    /** How long a request usually takes at [target]. */
    private fun usualTime(target: Target): Duration {
        val serving = servingOf(target)
        if (serving.isEmpty()) return Duration.ZERO
        return serving.fold(Duration.ZERO) { sum, load -> sum + load.usual } / serving.size
    }

    /** The next request that can still be answered in time; those before it are denied. */
    private fun next(queue: FairQueue<Reservation>, load: UpstreamLoad, now: Moment): Reservation? {
        while (true) {
            val reservation = queue.poll() ?: return null
            if (now + load.usual * RUN_PART <= reservation.deadline) return reservation
            deny(reservation, TOO_LATE, now)
        }
    }

    private data class Place(val entry: VmId, val id: RequestId)

    private class Running(val upstream: UpstreamId, val since: Moment, val expires: Moment)

    private companion object {
        /** A request is not begun where less than this part of the usual time is left: it would only take a place. */
        const val RUN_PART = 0.7
        val RETRY: Duration = 200.milliseconds

        /** Where every place is taken the first becomes free after half of the time between two ends, on average. */
        const val UNTIL_FREE = 0.5

        /** An estimate that is a little late is no reason to give a request up that waits already. */
        val HOPELESS_MARGIN: Duration = 30.milliseconds
        val ON_ITS_WAY = Target(owner = null)
        val TOO_LATE = Refusal(Reason.DeadlineBeforeRun, "the deadline came before a place was free", RETRY)
        val NO_OWNER = Refusal(Reason.OwnerUnavailable, "the key is on its way to another owner", RETRY)
        val STALLED = Refusal(Reason.Overloaded, "the upstream has stopped to answer", RETRY)
    }
}
