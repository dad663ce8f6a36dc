/*
 * Allocates a keyed pool whose slots are placed by hash: decides the owners of the slots and grants these to the
 * upstreams. Every change has two phases. First each upstream gives up the slots that it loses; once all have confirmed
 * that, or everything they may hold has expired, each is granted the slots that it gains. See docs/design/ownership.md.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.routing.OwnerTable
import kotlin.time.Duration

/** The allocator of [pool] under [term]. [initial] is the stored record that began the term. */
internal class PoolAllocator(
    private var pool: Pool,
    private var declaration: Declaration,
    initial: OwnershipRecord,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
    private val timers: Timers,
    private val effects: Effects,
    private val context: AllocatorContext,
    private val start: Moment,
) : Allocator {
    private val holders = LinkedHashMap<UpstreamId, HolderState>()
    private val planner = MembershipPlanner(settings)
    private var state = State.Claiming
    private var table = OwnerTable(initial)
    private var previousTable = table
    private var shrinkingSince = start
    private val claimDeadline = start + settings.renewal
    private val stopDetector = PredecessorStopDetector(initial, vms, settings, start, ::predecessorsStopped)

    // An upper bound, on this VM's clock, of the time for which a lease lasts on an upstream's clock.
    private val maxLeaseTime = settings.lease * (1 + 2 * settings.clockDrift)

    private val isFirstTerm = initial.predecessors.isEmpty()
    private val reachable = HashSet<UpstreamId>()
    private var isStopped = false

    override val term: Term = initial.term

    /** The record that is in force or being put into force. */
    val record: OwnershipRecord get() = table.record

    /** Whether [record] has not been written to the store yet. */
    var isUnsaved = false
        private set

    private enum class State { Claiming, Writing, Shrinking, Steady }

    init {
        configure(pool, declaration)
        if (isFirstTerm) holders.values.forEach { it.limitLapse(start) }
        tick(start)
    }

    override fun configure(newPool: Pool, newDeclaration: Declaration) {
        pool = newPool
        declaration = newDeclaration
        for (upstream in newPool.upstreams) {
            val holder = holders.getOrPut(upstream.id) { HolderState(upstream.id, upstream.address, settings) }
            holder.address = upstream.address
        }
    }

    override fun grantReported(report: GrantReport, now: Moment) {
        if (isStopped) return
        if (report.term > term) return stepDown(now)
        val holder = holders[report.upstream]
        if (holder == null || report.term < term) return
        val isNewlyClaimed = holder.grantReported(report, isFirstTerm, now)
        reportReachability(holder, isReachable = true)
        if (isNewlyClaimed && state != State.Claiming) assign(holder)
        if (state != State.Steady) advance(now)
    }

    override fun predecessorStopped(vm: VmId, now: Moment): Unit =
        stopDetector.predecessorStopped(vm, at = now, now = now)

    override fun termNoted(vm: VmId, lasting: Duration, now: Moment): Unit = stopDetector.termNoted(vm, lasting, now)

    override fun stop() {
        isStopped = true
    }

    private fun stepDown(now: Moment) {
        stop()
        context.dutyLost(now)
    }

    private fun predecessorsStopped(stoppedAt: Moment, now: Moment) {
        holders.values.forEach { it.limitLapse(stoppedAt + maxLeaseTime) }
        advance(now)
    }

    private fun tick(now: Moment) {
        if (isStopped) return
        stopDetector.requestConfirmations(now)
        for (holder in holders.values) {
            if (holder.isSilent(now) && holder.lastAnswerAt != Moment.PAST) {
                reportReachability(holder, isReachable = false)
            }
            send(holder, now)
        }
        advance(now)
        timers.at(now + if (state == State.Steady) settings.renewal else settings.transition, ::tick)
    }

    /**
     * Takes the next step of a change, or plans a new one. This needs certainty that no higher term exists, since
     * another allocator could extend a lease that this one considers expired. After a time without that certainty it
     * waits for [maxLeaseTime], until a lease that was extended meanwhile has expired.
     */
    private fun advance(now: Moment) {
        if (isStopped) return
        val since = context.confirmedSince(now) ?: return
        val interrupted = since > start
        if (interrupted && since + maxLeaseTime > now) return
        when (state) {
            State.Claiming -> if (holders.values.all { it.isClaimed } || now >= claimDeadline) reconcile(now)
            State.Shrinking -> when {
                holders.values.all { it.isConfirmed || it.hasLapsed(now) } -> grantAll(now)
                now >= shrinkingSince + settings.grantAnswerTimeout -> replan(now)
            }
            State.Steady -> replan(now)
            State.Writing -> Unit
        }
    }

    /** Continues from the newest record that any upstream has reported, which may be newer than the stored one. */
    private fun reconcile(now: Moment) {
        val newest = holders.values.mapNotNull { it.claimReport }.maxByOrNull { it.step } ?: return
        val stored = record
        val isReportNewer = newest.step.version > stored.version && newest.members.isNotEmpty()
        val version = if (isReportNewer) newest.step.version.next() else stored.version
        val members = if (isReportNewer) newest.members else stored.members
        startChange(stored.copy(version = version, members = members), now)
    }

    private fun replan(now: Moment) {
        val storeOut = context.isStoreOut(now)
        if (isUnsaved && !storeOut) return save()
        val members = planner.plan(record.members, pool, declaration, holders, lossesOnly = storeOut, now = now)
        val areEarlierGrantsOver = holders.values.all { it.isClaimed || it.hasLapsed(now) }
        val planned = record.copy(
            members = members,
            predecessors = if (areEarlierGrantsOver) emptySet() else record.predecessors,
            isUnsettled = record.isUnsettled && !areEarlierGrantsOver,
            backedElsewhere = record.backedElsewhere || (areEarlierGrantsOver && vms.hasSeveralZones),
        )
        if (planned != record) startChange(planned.copy(version = record.version.next()), now)
    }

    /** Writes the record that was put into force during a store outage. */
    private fun save() {
        state = State.Writing
        context.write(record) { saved, _ ->
            isUnsaved = !saved
            state = State.Steady
        }
    }

    /** Writes [next] to the store, then starts to put it into force; during a store outage it is written afterwards. */
    private fun startChange(next: OwnershipRecord, now: Moment) {
        if (context.isStoreOut(now)) {
            isUnsaved = true
            return startShrinking(next, now)
        }
        state = State.Writing
        context.write(next) { saved, moment ->
            isUnsaved = !saved
            if (!isStopped) startShrinking(next, moment)
        }
    }

    private fun startShrinking(next: OwnershipRecord, now: Moment) {
        previousTable = table
        table = OwnerTable(next)
        state = State.Shrinking
        shrinkingSince = now
        holders.values.filter { it.isClaimed }.forEach(::assign)
        sendOrders(now)
    }

    private fun grantAll(now: Moment) {
        state = State.Steady
        val moved = table.movedSlotCount(previousTable)
        holders.values.filter { it.isClaimed }.forEach(::assign)
        effects.add(Effect.StateChanged(StateChange.OwnersChanged(pool.name, record.version, moved)))
        context.publish(record, now)
        sendOrders(now)
    }

    /** Sets the slots that [holder] is to hold in the present phase of the change. */
    private fun assign(holder: HolderState) {
        val derived = table.slotsOf(holder.upstream)
        val phase = if (state == State.Steady) GrantPhase.Full else GrantPhase.Shrink
        val slots = if (phase == GrantPhase.Full) derived else holder.slots.intersect(derived)
        holder.assign(GrantStep(term, record.version, phase), slots)
    }

    /** Sends orders to all upstreams without waiting for the next tick. */
    private fun sendOrders(now: Moment) {
        holders.values.forEach { send(it, now) }
        timers.at(now + settings.transition, ::advance)
    }

    private fun send(holder: HolderState, now: Moment) {
        val confirmed = context.confirmedSince(now) != null
        val order = if (context.mayRenew(now)) {
            holder.order(pool.name, term, record.members, confirmed, now)
        } else {
            GrantOrder.Claim(pool.name, holder.upstream, term)
        }
        effects.add(Effect.SendGrant(holder.address, order))
    }

    private fun reportReachability(holder: HolderState, isReachable: Boolean) {
        val changed = if (isReachable) reachable.add(holder.upstream) else reachable.remove(holder.upstream)
        if (changed) effects.add(Effect.StateChanged(StateChange.UpstreamReachable(holder.upstream, isReachable)))
    }
}
