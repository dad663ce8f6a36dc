/*
 * The duties of one VM: which pools it allocates, and what others tell it of theirs.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.VmId
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
import cicadagauge.store.StoreRevision
import kotlin.time.Duration

/** What all duties of one VM share. */
internal class DutySurroundings(
    val vms: VmDirectory,
    val watchers: Watchers,
    val store: StoreClient,
    val codec: RecordCodec,
    val settings: OwnershipSettings,
    val timers: Timers,
    val effects: Effects,
    val publisher: RecordPublisher,
    val owners: OwnerDirectory,
    val orders: RangeOrders,
    val lease: ProcessLease,
)

/** Tells the fleet of a record that has come into force. */
internal fun interface RecordPublisher {
    fun publish(record: OwnershipRecord, now: Moment)
}

/** The duties of one VM. */
internal class DutyManager(private val surroundings: DutySurroundings) {
    private val vms = surroundings.vms
    private val lease = surroundings.lease
    private val duties = LinkedHashMap<PoolName, PoolDuty>()
    private var stopping = false

    init {
        lease.onLapse(::leaseLapsed)
    }

    /** The pools that this VM allocates now. */
    val held: List<PoolName> get() = duties.filterValues { it.allocator != null }.keys.toList()

    /** Takes the keyed pools of [newDeclaration] over. */
    fun configure(newDeclaration: Declaration, now: Moment) {
        val keyed = newDeclaration.pools.filter { it.keyed }
        val gone = duties.keys - keyed.map { it.name }.toSet()
        gone.forEach { name -> duties.remove(name)?.giveUp(now) }
        for (pool in keyed) {
            duties.getOrPut(pool.name) { PoolDuty(pool, newDeclaration, surroundings, lease, now) }
                .configure(pool, newDeclaration)
        }
        considerAll(now)
    }

    /** Notes who holds the duty of [pool] as of [revision] of the store; null where nobody does. */
    fun holderChanged(pool: PoolName, holder: VmId?, revision: StoreRevision, now: Moment) {
        duties[pool]?.holderChanged(holder, revision, now)
    }

    /** Takes an upstream's answer to a grant order. */
    fun reported(report: GrantReport, now: Moment) {
        duties[report.pool]?.allocator?.reported(report, now)
    }

    /** Takes a report of what the slots of a pool were asked for. */
    fun heated(report: PeerMessage.Heat, now: Moment) {
        duties[report.pool]?.allocator?.heated(report, now)
    }

    /** Stops giving orders where [from] holds a higher term, and confirms it. */
    fun yieldTo(from: VmId, message: PeerMessage.Yield, now: Moment) {
        val duty = duties[message.pool]
        val allocator = duty?.allocator
        if (allocator != null && allocator.term >= message.term) return
        duty?.lost(now)
        vms.vm(from)?.let { vms.send(it, PeerMessage.Yielded(message.pool, message.term)) }
    }

    /** Takes a predecessor's confirmation, or the word of an allocator that it has stopped. */
    fun yielded(from: VmId, message: PeerMessage.Yielded, now: Moment) {
        val duty = duties[message.pool] ?: return
        duty.allocator?.takeIf { it.term == message.term }?.predecessorStopped(from, now)
        if (surroundings.owners[message.pool]?.record?.allocator == from) {
            duty.promises.release()
            duty.consider(now)
        }
    }

    /** Takes note that [from] holds a higher term, and says how long what was promised to lower ones lasts. */
    fun termRaised(from: VmId, message: PeerMessage.TermRaised, now: Moment) {
        val lasting = duties[message.pool]?.promises?.termRaised(message.term, now) ?: Duration.ZERO
        vms.vm(from)?.let { vms.send(it, PeerMessage.TermNoted(message.pool, message.term, lasting)) }
    }

    /** Takes the confirmation that [from] backs no lower term. */
    fun termNoted(from: VmId, message: PeerMessage.TermNoted, now: Moment) {
        duties[message.pool]?.allocator?.takeIf { it.term == message.term }?.termNoted(from, message.lasting, now)
    }

    /** Promises to leave a duty alone, where this VM gets no answer from the store either. */
    fun promise(from: VmId, message: PeerMessage.OutageQuery, now: Moment) {
        val duty = duties[message.pool] ?: return
        if (!duty.mayPromise(message.term, now)) return
        duty.promises.make(now)
        vms.vm(from)?.let { vms.send(it, PeerMessage.OutagePromise(message.pool, message.term, message.sequence)) }
    }

    /** Forgets what other VMs have promised. */
    fun suspended(): Unit = duties.values.forEach { it.witness.forget() }

    /** Takes another VM's promise. */
    fun promised(from: VmId, message: PeerMessage.OutagePromise) {
        val duty = duties[message.pool] ?: return
        if (duty.allocator?.term == message.term) duty.witness.promised(from, message)
    }

    /** Looks at every duty that nobody holds. */
    fun considerAll(now: Moment) {
        if (!stopping) duties.values.forEach { it.consider(now) }
    }

    /** Hands every duty over; [Effect.DutiesHandedOver] follows. */
    fun stop() {
        if (stopping) return
        stopping = true
        var open = duties.size
        if (open == 0) return finishStop()
        duties.values.forEach { duty -> duty.handOver { if (--open == 0) finishStop() } }
    }

    private fun finishStop() {
        surroundings.effects.add(Effect.DutiesHandedOver)
    }

    private fun leaseLapsed(now: Moment) {
        duties.values.forEach { it.keyLapsed(now) }
    }
}
