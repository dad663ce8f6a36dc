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
import cicadagauge.node.RangeSettings
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

    // An upper bound of a hold on this VM's clock; the hold counts on the upstream's clock, which may be slower.
    private val maxHold = times.grantLifetime * (1 + times.upstreamDrift) * (1 + settings.clockDrift)

    // An upper bound, on this VM's clock, of the time from sending a grant until its hold has expired.
    private val maxGrantTime = maxHold + times.grantTimeout

    private val heat = RangeHeat(pool.slots, start, times.balance)
    private val planner = RangePlanner(pool.slots, heat, times.balance)
    private val suspected = SuspectedOwners(pool.name, orders, times)
    private var record = initial
    private var rangeStates = emptyList<RangeState>()

    // Before that, upstreams may hold ranges of which no record tells, so nothing is granted.
    private var settledAt = if (initial.isUnsettled) Moment.FUTURE else Moment.PAST
    private val stopDetector = stopDetector(initial, settings)
    private var isWriting = false
    private var isStopped = false
    private var lastPlanAt = Moment.PAST
    private var knownUpstreams = emptySet<UpstreamId>()
    private var lastUpstreamChange = start

    override val term = initial.term

    init {
        val isAloneFromStart = initial.predecessors.isEmpty() && !initial.isUnsettled
        val lapse = if (isAloneFromStart) start + maxGrantTime else Moment.FUTURE
        rangeStates = initial.ranges.map { RangeState(it, lapsesAt = lapse, formerLapsesAt = lapse) }
        tick(start)
    }

    private fun stopDetector(initial: OwnershipRecord, settings: OwnershipSettings): StopDetector =
        if (initial.isUnsettled) {
            LostEraDetector(initial, vms, settings, start, context.knowsEarlierVms) { stoppedAt, _ ->
                settledAt = stoppedAt + maxGrantTime
                earlierStopped(stoppedAt)
            }
        } else {
            PredecessorStopDetector(initial, vms, settings, start) { stoppedAt, _ -> earlierStopped(stoppedAt) }
        }

    private fun earlierStopped(stoppedAt: Moment): Unit =
        rangeStates.forEach { it.limitLapse(stoppedAt + maxGrantTime) }

    override fun configure(newPool: Pool, newDeclaration: Declaration) {
        pool = newPool
        declaration = newDeclaration
    }

    override fun heatReported(report: PeerMessage.Heat, now: Moment): Unit = heat.add(report.buckets, report.times, now)

    override fun predecessorStopped(vm: VmId, now: Moment): Unit =
        stopDetector.predecessorStopped(vm, at = now, now = now)

    override fun termNoted(vm: VmId, lasting: Duration, now: Moment): Unit = stopDetector.termNoted(vm, lasting, now)

    override fun stop() {
        isStopped = true
    }

    private fun tick(now: Moment) {
        if (isStopped) return
        stopDetector.requestConfirmations(now)
        rangeStates.forEach { advance(it, now) }
        updateRecord(now)
        timers.at(now + times.checkInterval, ::tick)
    }

    /** Sends the next order for [state], if one is due. */
    private fun advance(state: RangeState, now: Moment) {
        if (isStopped || state.isOrderInFlight || now < state.nextOrderAt || !mayOrder(now)) return
        // The record that is being written may assign a range whose hold is over to another owner.
        if (isWriting && state.endOfHold(now) != null) return
        val isGivenUp = state.isLost(now, times.maxSilence) && !(state.isRefusing && state.endOfHold(now) == null)
        if (isGivenUp) return
        val restartedOwner = restartedOwnerOf(state)
        if (restartedOwner != null) return state.ownerRestarted(restartedOwner)
        if (state.isVacated(now)) grant(state) else release(state)
    }

    private fun mayOrder(now: Moment): Boolean =
        now >= settledAt && now < context.storeAnsweredAt + times.storelessRenewal && context.mayRenew(now)

    /** The owner in its present run, if it has restarted since it was granted the range; null otherwise. */
    private fun restartedOwnerOf(state: RangeState): RangeOwner? {
        val owner = state.range.owner
        val registered = pool.upstreams.firstOrNull { it.id == owner.upstream } ?: return null
        return ownerOf(registered).takeIf { registered.run != owner.run }
    }

    private fun grant(state: RangeState) {
        val range = state.range
        state.orderSent()
        val order = RangeOrder.Grant(pool.name, range.slots, range.fence, times.grantLifetime, state.handover)
        orders.send(range.owner, order) { outcome, now -> handleGrantOutcome(state, outcome, now) }
    }

    private fun handleGrantOutcome(state: RangeState, outcome: RangeOrderOutcome, now: Moment) {
        state.isOrderInFlight = false
        if (isStopped || state !in rangeStates) return
        when (outcome) {
            is RangeOrderOutcome.Accepted -> accepted(state, now)
            RangeOrderOutcome.Superseded -> superseded(state, now)
            RangeOrderOutcome.Replaced -> state.ownerReplaced()
            RangeOrderOutcome.Refused -> state.connectionRefused(now, now + times.refusedRetry)
            RangeOrderOutcome.Rejected -> state.orderFailed(state.lapsesAt, now, now + times.retry)
            RangeOrderOutcome.Unanswered -> state.orderFailed(now + maxGrantTime, now, now + times.retry)
        }
    }

    private fun accepted(state: RangeState, now: Moment) {
        state.grantAccepted(until = now + maxHold, next = now + times.renewal)
        if (state.range.isServed) return
        state.range = state.range.copy(isServed = true, former = null)
        updateRecord(now)
    }

    private fun release(state: RangeState) {
        val former = state.range.former ?: return
        state.orderSent()
        orders.send(former, RangeOrder.Release(pool.name, state.range.slots, state.range.fence)) { outcome, now ->
            handleReleaseOutcome(state, outcome, now)
        }
    }

    private fun handleReleaseOutcome(state: RangeState, outcome: RangeOrderOutcome, now: Moment) {
        state.isOrderInFlight = false
        if (isStopped || state !in rangeStates) return
        when (outcome) {
            is RangeOrderOutcome.Accepted -> state.formerReleased(outcome.handover)
            RangeOrderOutcome.Replaced -> state.formerReplaced()
            RangeOrderOutcome.Refused -> state.nextOrderAt = now + times.refusedRetry
            RangeOrderOutcome.Superseded -> superseded(state, now)
            RangeOrderOutcome.Rejected, RangeOrderOutcome.Unanswered -> state.nextOrderAt = now + times.retry
        }
        advance(state, now)
    }

    /** Stops this allocator: an upstream that has seen a higher fence has accepted an order of a newer allocator. */
    private fun superseded(state: RangeState, now: Moment) {
        val range = state.range
        effects.add(Effect.StateChanged(StateChange.FenceRefused(pool.name, range.owner.upstream, range.fence)))
        stop()
        context.dutyLost(now)
    }

    /**
     * Writes a new record if anything has changed: ranges that are now served or must move to other owners, or the
     * predecessors, once no grant of theirs can be valid.
     */
    private fun updateRecord(now: Moment) {
        val isCertain = context.confirmedSince(now) != null && !context.isStoreOut(now)
        if (isWriting || isStopped || !isCertain || now < settledAt) return
        val next = record.version.next()
        val planned = if (isPlanDue(now)) plan(next, now) else rangeStates.map { it.range }
        val areEarlierGrantsOver = rangeStates.all { it.isVacated(now) && (it.isClaimed || now >= it.lapsesAt) }
        val updated = record.copy(
            ranges = planned,
            predecessors = if (areEarlierGrantsOver) emptySet() else record.predecessors,
            isUnsettled = false,
            backedElsewhere = record.backedElsewhere || (areEarlierGrantsOver && vms.hasSeveralZones),
        )
        if (updated == record) return
        isWriting = true
        val changed = updated.copy(version = next)
        context.write(changed) { saved, moment ->
            isWriting = false
            if (saved && !isStopped) putIntoForce(changed, moment)
        }
    }

    private fun putIntoForce(changed: OwnershipRecord, now: Moment) {
        record = changed
        rangeStates = changed.ranges.map { stateOf(it, now) }
        context.publish(changed, now)
        val moved = changed.ranges.filter { it.fence == changed.version }.sumOf { it.slots.size }
        if (moved > 0) effects.add(Effect.StateChanged(StateChange.OwnersChanged(pool.name, changed.version, moved)))
        rangeStates.forEach { advance(it, now) }
    }

    /** The state of [range], which is a known range, a part of one, or has just been assigned to another owner. */
    private fun stateOf(range: OwnedRange, now: Moment): RangeState {
        val source = currentStateOf(range.slots)
        val stays = source != null && source.range.fence == range.fence && source.range.owner == range.owner
        if (source == null || !stays) {
            val lapse = if (source == null || range.former == null) now else source.longestHold(maxGrantTime, now)
            return RangeState(range, lapsesAt = now, formerLapsesAt = lapse)
        }
        if (source.range.slots != range.slots) return source.part(range, maxGrantTime, now)
        // A grant may have been accepted while the record was being written.
        if (!source.range.isServed) source.range = range
        return source
    }

    private fun currentStateOf(slots: SlotRange): RangeState? = rangeStates.firstOrNull { slots.first in it }

    /**
     * Whether to plan now. Upstreams register one after the other, so the first plan waits until they have been the
     * same for [RangeSettings.firstPlanSettleTime], but not beyond [RangeSettings.firstPlanTimeout].
     */
    private fun isPlanDue(now: Moment): Boolean {
        if (rangeStates.isNotEmpty()) return now >= start + times.planDelay && now >= lastPlanAt + planInterval(now)
        val present = pool.upstreams.map { it.id }.toSet()
        if (present != knownUpstreams) {
            knownUpstreams = present
            lastUpstreamChange = now
        }
        return now >= minOf(lastUpstreamChange + times.firstPlanSettleTime, start + times.firstPlanTimeout)
    }

    /** Shorter where a lost owner can't hold its range any more, since nobody serves that range. */
    private fun planInterval(now: Moment): Duration {
        val isUnserved = rangeStates.any { it.isLost(now, times.maxSilence) && it.endOfHold(now) != null }
        return if (isUnserved) times.minUrgentPlanInterval else times.minPlanInterval
    }

    private fun plan(version: RecordVersion, now: Moment): List<OwnedRange> {
        val usable = pool.upstreams.filterNot(declaration::isOut)
        lastPlanAt = now
        heat.decay(now)
        rangeStates.filter { it.isLost(now, times.maxSilence) }.forEach { suspect(it, now) }
        suspected.retain { owner -> usable.any { ownerOf(it) == owner } }
        suspected.probe(now)
        val healthy = usable.filter { ownerOf(it) !in suspected }
        if (healthy.isEmpty()) {
            rangeStates.filter { it.isLost(now, times.maxSilence) && !it.isOrderInFlight }.forEach { it.retry(now) }
            return rangeStates.map { it.range }
        }
        val current = rangeStates.map { state ->
            PlannedRange(
                slots = state.range.slots,
                owner = state.range.owner.upstream.takeIf { mayStay(state, healthy) },
                isMovable = state.range.isServed && mayMove(state, now),
            )
        }
        val planned = planner.plan(current, healthy)
        if (planner.expectedSaving > Duration.ZERO) {
            effects.add(Effect.StateChanged(StateChange.LoadBalanced(pool.name, version, planner.expectedSaving)))
        }
        return planned.map { toOwnedRange(it, version, healthy, now) }
    }

    /** Like [RangeState.mayMove]; all ranges of a suspected owner wait until it can't hold them any more. */
    private fun mayMove(state: RangeState, now: Moment): Boolean {
        val isProofNeeded = state.range.owner in suspected
        return state.mayMove(now, times.maxSilence) && (!isProofNeeded || state.endOfHold(now) != null)
    }

    private fun suspect(state: RangeState, now: Moment) {
        val owner = state.range.owner
        if (owner !in suspected) {
            val change = StateChange.OwnerSuspected(
                pool = pool.name,
                upstream = owner.upstream,
                proof = state.endOfHold(now)?.name,
                longestWait = maxOf(Duration.ZERO, state.lapsesAt - now),
            )
            effects.add(Effect.StateChanged(change))
        }
        suspected.add(owner, now)
    }

    private fun mayStay(state: RangeState, healthy: List<Upstream>): Boolean =
        healthy.any { ownerOf(it) == state.range.owner }

    private fun toOwnedRange(
        planned: PlannedRange,
        version: RecordVersion,
        healthy: List<Upstream>,
        now: Moment,
    ): OwnedRange {
        val source = currentStateOf(planned.slots)
        val owner = ownerOf(healthy.first { it.id == planned.owner })
        val stays = source != null && (source.range.owner == owner || !mayMove(source, now))
        if (source != null && stays) return source.range.copy(slots = planned.slots)
        val former = source?.let { formerOwnerOf(it, now) }
        return OwnedRange(planned.slots, owner, version, former = former)
    }

    /** The upstream that may hold the range of [state] beside its next owner, or null if none can. */
    private fun formerOwnerOf(state: RangeState, now: Moment): RangeOwner? = when (state.endOfHold(now)) {
        EndOfHold.Released, EndOfHold.Replaced, EndOfHold.Expired -> null
        EndOfHold.Restarted -> state.restartedOwner
        null -> state.range.owner
    }

    private fun ownerOf(upstream: Upstream) = RangeOwner(upstream.id, upstream.run, upstream.address)
}
