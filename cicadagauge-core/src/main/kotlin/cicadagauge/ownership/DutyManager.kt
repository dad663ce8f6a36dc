/*
 * The duties of one VM. The duty of a pool is the role of its only allocator. Messages from other VMs and from
 * upstreams are passed on to the duty of the pool that they concern.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.VmId
import cicadagauge.membership.UpstreamReachability
import cicadagauge.membership.VmDirectory
import cicadagauge.membership.Watchers
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.Timers
import cicadagauge.peer.PeerMessage
import cicadagauge.routing.OwnerDirectory
import cicadagauge.store.RecordCodec
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The dependencies that all duties of one VM share. */
internal class DutyServices(
    val vms: VmDirectory,
    val candidates: Watchers,
    val store: StoreClient,
    val codec: RecordCodec,
    val settings: OwnershipSettings,
    val timers: Timers,
    val effects: Effects,
    val publisher: RecordPublisher,
    val owners: OwnerDirectory,
    val orders: RangeOrders,
    val lease: ProcessLease,
    val reachability: UpstreamReachability,
)

/** Announces to all VMs a record that is in force. */
internal fun interface RecordPublisher {
    fun publish(record: OwnershipRecord, now: Moment)
}

/**
 * Has a [PoolDuty] for each keyed pool of the declaration, whether or not this VM holds the duty. That of a pool that
 * is no longer declared stays, because its key may be in the store, or be written by a call that is still under way.
 */
internal class DutyManager(private val dependencies: DutyServices) {
    private val vms = dependencies.vms
    private val lease = dependencies.lease
    private val duties = LinkedHashMap<PoolName, PoolDuty>()
    private val holders = HashMap<PoolName, Holder>()
    private var isStopping = false

    init {
        lease.onLapse(::leaseLapsed)
    }

    /** The pools whose duty this VM holds. */
    val heldPools: List<PoolName> get() = duties.filterValues { it.allocator != null }.keys.toList()

    /** Adds, updates and withdraws duties so that there is one for each keyed pool of [newDeclaration]. */
    fun configure(newDeclaration: Declaration, now: Moment) {
        val keyed = newDeclaration.pools.filter { it.keyed }
        val withdrawn = duties - keyed.map { it.name }.toSet()
        withdrawn.values.forEach { it.withdraw(now) }
        for (pool in keyed) {
            val duty = duties.getOrPut(pool.name) {
                PoolDuty(pool, newDeclaration, dependencies, lease, now).apply {
                    holders[pool.name]?.let { holderChanged(it.vm, it.revision, now) }
                }
            }
            duty.configure(pool, newDeclaration, now)
        }
        takeVacantDuties(now)
    }

    /**
     * Handles a change of the duty key of [pool]: [holder] holds it as of [revision], null if no VM does. The holder is
     * remembered for a pool that is declared later.
     */
    fun holderChanged(pool: PoolName, holder: VmId?, revision: StoreRevision, now: Moment) {
        holders[pool] = Holder(holder, revision)
        duties[pool]?.holderChanged(holder, revision, now)
    }

    /** Passes an upstream's answer to a grant order on to the pool's allocator. */
    fun grantReported(report: GrantReport, now: Moment) {
        duties[report.pool]?.allocator?.grantReported(report, now)
    }

    /** Passes a report of the request counts of a pool's slots on to the pool's allocator. */
    fun heatReported(report: PeerMessage.Heat, now: Moment) {
        duties[report.pool]?.allocator?.heatReported(report, now)
    }

    /**
     * Stops the allocator if [from] holds a higher term than its own. Confirms to [from] that no allocator of a lower
     * term runs here, also if there was none.
     */
    fun yieldTo(from: VmId, message: PeerMessage.Yield, now: Moment) {
        val duty = duties[message.pool]
        val allocator = duty?.allocator
        if (allocator != null && allocator.term >= message.term) return
        duty?.dutyLost(now)
        vms.vm(from)?.let { vms.send(it, PeerMessage.Yielded(message.pool, message.term)) }
    }

    /**
     * Handles the message that the allocator on [from] has stopped: in answer to this VM's [PeerMessage.Yield], or
     * because its process stops.
     */
    fun yielded(from: VmId, message: PeerMessage.Yielded, now: Moment) {
        val duty = duties[message.pool] ?: return
        duty.allocator?.takeIf { it.term == message.term }?.predecessorStopped(from, now)
        if (dependencies.owners[message.pool]?.record?.allocator == from) {
            duty.madePromises.allocatorStopped(from, message.term)
            duty.takeIfDue(now)
        }
    }

    /** Notes that [from] holds a higher term, and answers how much longer promises to holders of lower terms last. */
    fun termRaised(from: VmId, message: PeerMessage.TermRaised, now: Moment) {
        val lasting = duties[message.pool]?.madePromises?.termRaised(message.term, now) ?: Duration.ZERO
        vms.vm(from)?.let { vms.send(it, PeerMessage.TermNoted(message.pool, message.term, lasting)) }
    }

    /** Handles the confirmation that [from] makes no more promises to holders of lower terms. */
    fun termNoted(from: VmId, message: PeerMessage.TermNoted, now: Moment) {
        duties[message.pool]?.allocator?.takeIf { it.term == message.term }?.termNoted(from, message.lasting, now)
    }

    /** Promises not to take a duty, if this VM gets no answer from the store either. */
    fun answerOutageQuery(from: VmId, message: PeerMessage.OutageQuery, now: Moment) {
        val duty = duties[message.pool] ?: return
        if (!duty.mayPromise(message.term, now)) return
        duty.madePromises.extend(now)
        vms.vm(from)?.let { vms.send(it, PeerMessage.OutagePromise(message.pool, message.term, message.sequence)) }
    }

    /** Discards the promises of other VMs after this process was suspended. */
    fun suspended(): Unit = duties.values.forEach { it.receivedPromises.discard() }

    /** Gives up what this VM held in [previous], an earlier era of the store, and takes it again where it may. */
    fun eraChanged(previous: StoreEra, now: Moment): Unit = duties.values.forEach { it.eraChanged(previous, now) }

    /** Records another VM's promise not to take a duty. */
    fun promiseReceived(from: VmId, message: PeerMessage.OutagePromise) {
        val duty = duties[message.pool] ?: return
        if (duty.allocator?.term == message.term) duty.receivedPromises.promiseReceived(from, message)
    }

    /** Takes every vacant duty for which it is this VM's turn. */
    fun takeVacantDuties(now: Moment) {
        if (!isStopping) duties.values.forEach { it.takeIfDue(now) }
    }

    /**
     * Gives up every duty if this VM reaches no upstream, but others do; takes vacant ones if it may again. If not this
     * VM has found out, but another one reaches upstreams again, this one gets time to find out the same.
     */
    fun reachabilityChanged(isOwn: Boolean, now: Moment) = when {
        !vms.isBypassed() -> takeVacantDuties(now)
        isOwn -> handOverToReaching(now)
        else -> dependencies.timers.at(now + RETURN_TIME, ::handOverToReaching)
    }

    private fun handOverToReaching(now: Moment): Unit = duties.values.forEach { it.handOverToReaching(now) }

    /** Gives up every duty, and adds [Effect.DutiesHandedOver] once all are given up. */
    fun stop() {
        if (isStopping) return
        isStopping = true
        var remaining = duties.size
        if (remaining == 0) return finishStop()
        duties.values.forEach { duty -> duty.handOver { if (--remaining == 0) finishStop() } }
    }

    private fun finishStop() {
        dependencies.effects.add(Effect.DutiesHandedOver)
    }

    private fun leaseLapsed(now: Moment) {
        duties.values.forEach { it.keyDeleted(now) }
    }

    private class Holder(val vm: VmId?, val revision: StoreRevision)

    private companion object {
        /** Two intervals of the probes for a return, and the time to open their connections. */
        val RETURN_TIME: Duration = 700.milliseconds
    }
}
