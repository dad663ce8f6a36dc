/*
 * Allocates a keyed pool whose slots are placed by ranges. Every change is written to the store first: the record names
 * the new owner, the fence and the former owner that may still hold the range. Only after the former owner has released
 * the range, or its hold has expired, is the range granted to the new one. See docs/design/ownership.md.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Moment
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/** The allocator of [pool]'s ranges. [initial] is the stored record that began its term. */
internal class RangeAllocator(
    private var pool: Pool,
    private var declaration: Declaration,
    initial: OwnershipRecord,
    private val vms: VmDirectory,
    settings: OwnershipSettings,
    private val timers: Timers,
    private val orders: RangeOrders,
    private val effects: Effects,
    private val context: AllocatorContext,
    private val start: Moment,
) : Allocator {
    private val times = settings.ranges
    private val heldFor = times.hold * (1 + times.upstreamDrift) * (1 + settings.clockDrift)
    private val settling = heldFor + times.orderTime
    private val heat = RangeHeat(pool.slots, start)
    private val planner = RangePlanner(pool.slots, heat)
    private val suspected = SuspectedOwners(pool.name, orders, times)
    private var record = initial
    private var tracks = emptyList<RangeState>()
    private val stopDetector = PredecessorStopDetector(initial, vms, settings, start) { stoppedAt, _ ->
        tracks.forEach { it.proveLapse(stoppedAt + settling) }
    }
    private var isWriting = false
    private var isStopped = false
    private var plannedAt = Moment.PAST
    private var known = emptySet<UpstreamId>()
    private var knownSince = start

    override val term = initial.term

    init {
        val lapse = if (initial.predecessors.isEmpty()) start + settling else Moment.FUTURE
        tracks = initial.ranges.map { RangeState(it, lapsesAt = lapse, formerLapsesAt = lapse) }
        tick(start)
    }

    override fun configure(newPool: Pool, newDeclaration: Declaration) {
        pool = newPool
        declaration = newDeclaration
    }

    override fun heated(report: PeerMessage.Heat, now: Moment): Unit = heat.add(report.buckets, report.times, now)

    override fun predecessorStopped(vm: VmId, now: Moment): Unit =
        stopDetector.predecessorStopped(vm, at = now, now = now)

    override fun termNoted(vm: VmId, lasting: Duration, now: Moment): Unit = stopDetector.termNoted(vm, lasting, now)

    override fun stop() {
        isStopped = true
    }

    private fun tick(now: Moment) {
        if (isStopped) return
        stopDetector.requestConfirmations(now)
        tracks.forEach { advance(it, now) }
        decide(now)
        timers.at(now + times.tick, ::tick)
    }

    /** Sends the next order for [track], if one is due. */
    private fun advance(track: RangeState, now: Moment) {
        if (isStopped || track.isBusy || now < track.nextOrder || track.isLost(now, times.silence)) return
        if (!mayOrder(now)) return
        val restarted = restartedOwnerOf(track)
        if (restarted != null) return track.ownerRestarted(restarted)
        if (track.isVacated(now)) grant(track) else release(track)
    }

    private fun mayOrder(now: Moment): Boolean =
        now < context.storeAnsweredAt + times.storelessRenewal && context.mayRenew(now)

    /** The owner in its present run, if it has restarted since it was granted the range; null otherwise. */
    private fun restartedOwnerOf(track: RangeState): RangeOwner? {
        val owner = track.range.owner
        val registered = pool.upstreams.firstOrNull { it.id == owner.upstream } ?: return null
        return ownerOf(registered).takeIf { registered.run != owner.run }
    }

    private fun grant(track: RangeState) {
        val range = track.range
        track.ordered()
        val order = RangeOrder.Grant(pool.name, range.slots, range.fence, times.hold, track.handover)
        orders.send(range.owner, order) { outcome, now -> granted(track, outcome, now) }
    }

    private fun granted(track: RangeState, outcome: RangeOrderOutcome, now: Moment) {
        track.isBusy = false
        if (isStopped || track !in tracks) return
        when (outcome) {
            is RangeOrderOutcome.Accepted -> accepted(track, now)
            RangeOrderOutcome.Superseded -> superseded(track, now)
            RangeOrderOutcome.Gone -> track.ownerGone()
            RangeOrderOutcome.Rejected -> track.unanswered(track.lapsesAt, now, now + times.retry)
            RangeOrderOutcome.Unanswered -> track.unanswered(now + settling, now, now + times.retry)
        }
    }

    private fun accepted(track: RangeState, now: Moment) {
        track.accepted(until = now + heldFor, next = now + times.renewal)
        if (track.range.isServed) return
        track.range = track.range.copy(isServed = true, former = null)
        decide(now)
    }

    private fun release(track: RangeState) {
        val former = track.range.former ?: return
        track.ordered()
        orders.send(former, RangeOrder.Release(pool.name, track.range.slots, track.range.fence)) { outcome, now ->
            released(track, outcome, now)
        }
    }

    private fun released(track: RangeState, outcome: RangeOrderOutcome, now: Moment) {
        track.isBusy = false
        if (isStopped || track !in tracks) return
        when (outcome) {
            is RangeOrderOutcome.Accepted -> track.vacated(outcome.handover)
            RangeOrderOutcome.Gone -> track.vacated(token = null)
            RangeOrderOutcome.Superseded -> superseded(track, now)
            RangeOrderOutcome.Rejected, RangeOrderOutcome.Unanswered -> track.nextOrder = now + times.retry
        }
        advance(track, now)
    }

    /** Stops this allocator: an upstream that has seen a higher fence has accepted an order of a newer allocator. */
    private fun superseded(track: RangeState, now: Moment) {
        val range = track.range
        effects.add(Effect.StateChanged(StateChange.FenceRefused(pool.name, range.owner.upstream, range.fence)))
        stop()
        context.lost(now)
    }

    /** Writes a new record if anything has changed: ranges that are now served, or that must move to other owners. */
    private fun decide(now: Moment) {
        if (isWriting || isStopped || context.confirmedSince(now) == null || context.isStoreOut(now)) return
        val next = record.version.next()
        val planned = if (isTimeToPlan(now)) plan(next, now) else tracks.map { it.range }
        val isProved = tracks.all { it.isVacated(now) && (it.isClaimed || now >= it.lapsesAt) }
        val wanted = record.copy(
            ranges = planned,
            predecessors = if (isProved) emptySet() else record.predecessors,
            backedElsewhere = record.backedElsewhere || (isProved && vms.hasSeveralZones),
        )
        if (wanted == record) return
        isWriting = true
        val changed = wanted.copy(version = next)
        context.write(changed) { saved, moment ->
            isWriting = false
            if (saved && !isStopped) inForce(changed, moment)
        }
    }

    private fun inForce(changed: OwnershipRecord, now: Moment) {
        record = changed
        tracks = changed.ranges.map { trackOf(it, now) }
        context.publish(changed, now)
        val moved = changed.ranges.filter { it.fence == changed.version }.sumOf { it.slots.size }
        if (moved > 0) effects.add(Effect.StateChanged(StateChange.OwnersChanged(pool.name, changed.version, moved)))
        tracks.forEach { advance(it, now) }
    }

    /** The state of [range], which is a known range, a part of one, or has just been assigned to another owner. */
    private fun trackOf(range: OwnedRange, now: Moment): RangeState {
        val source = sourceOf(range.slots)
        val stays = source != null && source.range.fence == range.fence && source.range.owner == range.owner
        if (source == null || !stays) {
            val lapse = if (source == null || range.former == null) now else maxOf(now, source.lapsesAt)
            return RangeState(range, lapsesAt = now, formerLapsesAt = lapse)
        }
        if (source.range.slots != range.slots) return source.part(range, settling, now)
        // A grant may have been accepted while the record was being written.
        if (!source.range.isServed) source.range = range
        return source
    }

    private fun sourceOf(slots: SlotRange): RangeState? = tracks.firstOrNull { slots.first in it }

    /** Whether to plan now. Upstreams register one after the other, so the first plan waits until no more are added. */
    private fun isTimeToPlan(now: Moment): Boolean {
        if (tracks.isNotEmpty()) return now >= start + times.settle && now >= plannedAt + times.planPause
        val present = pool.upstreams.map { it.id }.toSet()
        if (present != known) {
            known = present
            knownSince = now
        }
        return now >= minOf(knownSince + times.firstSettle, start + times.firstLimit)
    }

    private fun plan(version: RecordVersion, now: Moment): List<OwnedRange> {
        val usable = pool.upstreams.filterNot(declaration::isOut)
        plannedAt = now
        heat.decay(now)
        tracks.filter { it.isLost(now, times.silence) }.forEach { suspected.add(it.range.owner, now) }
        suspected.retain { owner -> usable.any { ownerOf(it) == owner } }
        suspected.probe(now)
        val healthy = usable.filter { ownerOf(it) !in suspected }
        if (healthy.isEmpty()) {
            tracks.filter { it.isLost(now, times.silence) && !it.isBusy }.forEach { it.retry(now) }
            return tracks.map { it.range }
        }
        val current = tracks.map { track ->
            PlannedRange(
                slots = track.range.slots,
                owner = track.range.owner.upstream.takeIf { mayStay(track, healthy) },
                isMovable = track.range.isServed && track.mayMove(now, times.silence),
            )
        }
        return planner.plan(current, healthy).map { owned(it, version, healthy, now) }
    }

    private fun mayStay(track: RangeState, healthy: List<Upstream>): Boolean =
        healthy.any { ownerOf(it) == track.range.owner }

    private fun owned(planned: PlannedRange, version: RecordVersion, healthy: List<Upstream>, now: Moment): OwnedRange {
        val source = sourceOf(planned.slots)
        val owner = ownerOf(healthy.first { it.id == planned.owner })
        val stays = source != null && (source.range.owner == owner || !source.mayMove(now, times.silence))
        if (source != null && stays) return source.range.copy(slots = planned.slots)
        val former = source?.takeUnless { it.isGone || now >= it.lapsesAt }?.let { it.restarted ?: it.range.owner }
        return OwnedRange(planned.slots, owner, version, former = former)
    }

    private fun ownerOf(upstream: Upstream) = RangeOwner(upstream.id, upstream.run, upstream.address)
}
