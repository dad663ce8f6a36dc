/*
 * Takes, keeps and hands over the duty of allocating keyed pools. A duty is a key in the platform store under this
 * VM's lease; the term rises with the compare-and-swap that writes the pool's record. A VM that loses sight of the
 * store keeps renewing what it granted: a higher term stops it at each upstream that the new holder reaches.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.membership.Watchers
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.peer.PeerMessage
import cicadagauge.store.RecordCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/** Tells the fleet of a record that has come into force. */
internal fun interface RecordPublisher {
    fun publish(record: OwnershipRecord, now: Moment)
}

/** The duties of one VM. */
internal class DutyManager(
    private val vms: VmDirectory,
    private val watchers: Watchers,
    private val store: StoreClient,
    private val codec: RecordCodec,
    private val settings: OwnershipSettings,
    private val timers: Timers,
    private val effects: Effects,
    private val publisher: RecordPublisher,
) {
    private val lease = DutyLease(store, timers, settings, ::leaseLapsed)
    private val duties = HashMap<PoolName, Duty>()
    private var declaration: Declaration? = null
    private var stopping = false
    private var handovers = 0

    /** The pools that this VM allocates now. */
    val held: List<PoolName> get() = duties.values.filter { it.allocator != null }.map { it.pool.name }

    /** Takes the keyed pools of [newDeclaration] over. */
    fun configure(newDeclaration: Declaration, now: Moment) {
        declaration = newDeclaration
        val keyed = newDeclaration.pools.filter { it.keyed }
        val gone = duties.keys - keyed.map { it.name }.toSet()
        gone.forEach { name -> duties.remove(name)?.giveUp(now) }
        keyed.forEach { pool -> duties.getOrPut(pool.name) { Duty(pool, now) }.configure(pool, newDeclaration) }
        considerAll(now)
    }

    /** Notes who holds the duty of [pool] according to the store; null where nobody does. */
    fun holderChanged(pool: PoolName, holder: VmId?, now: Moment) {
        val duty = duties[pool] ?: return
        duty.holderChanged(holder, now)
    }

    /** The store's duties were read in whole: a duty that was not among them has no holder. */
    fun snapshotRead(holders: Map<PoolName, VmId>, now: Moment) {
        for ((name, duty) in duties) duty.holderChanged(holders[name], now)
    }

    /** Takes an upstream's answer to a grant order. */
    fun reported(report: GrantReport, now: Moment) {
        duties[report.pool]?.allocator?.reported(report, now)
    }

    /** Stops giving orders where [from] holds a higher term, and confirms it. */
    fun yieldTo(from: VmId, message: PeerMessage.Yield, now: Moment) {
        val duty = duties[message.pool]
        val allocator = duty?.allocator
        if (allocator != null && allocator.term >= message.term) return
        duty?.lost(now)
        vms.vm(from)?.let { vms.send(it, PeerMessage.Yielded(message.pool, message.term)) }
    }

    /** Takes a predecessor's confirmation. */
    fun yielded(from: VmId, message: PeerMessage.Yielded, now: Moment) {
        duties[message.pool]?.allocator?.takeIf { it.term == message.term }?.predecessorStopped(from, now)
    }

    /** Looks at every duty that nobody holds. */
    fun considerAll(now: Moment) {
        if (!stopping) duties.values.forEach { it.consider(now) }
    }

    /** Hands every duty over; [Effect.DutiesHandedOver] follows. */
    fun stop(now: Moment) {
        if (stopping) return
        stopping = true
        duties.values.filter { it.allocator != null }.forEach { it.handOver(now) }
        finishStop()
    }

    private fun finishStop() {
        if (handovers > 0) return
        lease.drop()
        effects.add(Effect.DutiesHandedOver)
    }

    private fun leaseLapsed(now: Moment) {
        duties.values.forEach { it.keyLapsed(now) }
    }

    private inner class Duty(var pool: Pool, since: Moment) : AllocatorContext {
        private val dutyKey = StoreKey(StoreKeys.DUTIES + pool.name)
        private val recordKey = StoreKey(StoreKeys.RECORDS + pool.name)
        private var vacantSince: Moment? = since
        private var acquiring = false
        private var keyRevision = StoreRevision.ABSENT
        private var recordRevision = StoreRevision.ABSENT
        var allocator: PoolAllocator? = null

        fun configure(newPool: Pool, newDeclaration: Declaration) {
            pool = newPool
            allocator?.configure(newPool, newDeclaration)
        }

        fun holderChanged(holder: VmId?, now: Moment) {
            if (holder != null) vacantSince = null
            if (holder != null && holder != vms.self && allocator != null && !acquiring) lost(now)
            if (holder == null && vacantSince == null) vacantSince = now
            consider(now)
        }

        /** Takes the duty if it is vacant and every VM that ranks before this one has had its chance. */
        fun consider(now: Moment) {
            val since = vacantSince ?: return
            if (stopping || acquiring || allocator != null || !vms.isListed()) return
            val rank = watchers.eligible().let { eligible -> vms.ranked(dutyKey.value).filter { it.id in eligible } }
                .indexOfFirst { it.id == vms.self }
            if (rank < 0) return
            val due = since + settings.standbyStagger * rank
            if (now < due) return timers.at(due, ::consider)
            lease.want(now)
            if (lease.id == null) return timers.at(now + settings.storeRetry, ::consider)
            takeKey()
        }

        private fun takeKey() {
            acquiring = true
            val call = StoreCall.Put(dutyKey, vms.self.value, StoreRevision.ABSENT, lease.id)
            store.call(call) { reply, moment ->
                when {
                    reply is StoreReply.Written -> keyTaken(reply.revision, moment)
                    reply is StoreReply.Conflict && reply.current.value == vms.self.value ->
                        keyTaken(reply.current.revision, moment)
                    else -> {
                        acquiring = false
                        if (reply is StoreReply.Conflict) vacantSince = null
                        timers.at(moment + settings.storeRetry, ::consider)
                    }
                }
            }
        }

        private fun keyTaken(revision: StoreRevision, now: Moment) {
            keyRevision = revision
            vacantSince = null
            if (allocator == null) raiseTerm(now) else acquiring = false
        }

        private fun raiseTerm(now: Moment) {
            if (now >= lease.validUntil) return abandon(now)
            store.call(StoreCall.Get(recordKey)) { reply, moment ->
                val text = (reply as? StoreReply.Found)?.entry?.value
                when {
                    reply !is StoreReply.Found -> timers.at(moment + settings.storeRetry, ::raiseTerm)
                    text == null -> writeTerm(firstRecord(), reply.entry.revision)
                    else -> codec.decode(text).fold({
                        abandon(moment)
                    }) { writeTerm(successor(it), reply.entry.revision) }
                }
            }
        }

        private fun writeTerm(record: OwnershipRecord, expect: StoreRevision) {
            store.call(StoreCall.Put(recordKey, codec.encode(record), expect)) { reply, moment ->
                if (reply is StoreReply.Written) begin(record, reply.revision, moment) else raiseTerm(moment)
            }
        }

        private fun begin(record: OwnershipRecord, revision: StoreRevision, now: Moment) {
            acquiring = false
            recordRevision = revision
            val known = declaration ?: return
            effects.add(Effect.StateChanged(StateChange.DutyTaken(pool.name, record.term)))
            allocator = PoolAllocator(pool, known, record, vms, settings, timers, effects, context = this, start = now)
        }

        private fun firstRecord(): OwnershipRecord = OwnershipRecord(
            pool = pool.name,
            term = Term.NONE.next(),
            version = RecordVersion.NONE.next(),
            allocator = vms.self,
            slots = pool.slots,
            members = pool.upstreams.map {
                Member(
                    it.id,
                    if (declaration?.isOut(it) ==
                        true
                    ) {
                        Member.NO_SHARE
                    } else {
                        Member.FULL_SHARE
                    },
                )
            },
        )

        private fun successor(record: OwnershipRecord): OwnershipRecord = record.copy(
            term = record.term.next(),
            version = record.version.next(),
            allocator = vms.self,
            predecessors = record.predecessors + record.allocator,
        )

        private fun abandon(now: Moment) {
            acquiring = false
            vacantSince = vacantSince ?: now
            timers.at(now + settings.dutyLease, ::consider)
        }

        /** The store has dropped the key with its lease: take it anew, unless another VM has. */
        fun keyLapsed(now: Moment) {
            if (allocator == null) return
            if (acquiring) return
            acquiring = true
            retake(now)
        }

        private fun retake(now: Moment) {
            val id = lease.id
            if (allocator == null || stopping) {
                acquiring = false
                return
            }
            if (id == null) return timers.at(now + settings.storeRetry, ::retake)
            store.call(StoreCall.Put(dutyKey, vms.self.value, StoreRevision.ABSENT, id)) { reply, moment ->
                when (reply) {
                    is StoreReply.Written -> keyTaken(reply.revision, moment)
                    is StoreReply.Conflict -> {
                        acquiring = false
                        if (reply.current.value ==
                            vms.self.value
                        ) {
                            timers.at(moment + settings.dutyLease, ::keyLapsed)
                        } else {
                            lost(moment)
                        }
                    }
                    else -> timers.at(moment + settings.storeRetry, ::retake)
                }
            }
        }

        override fun isConfirmed(now: Moment): Boolean = !acquiring && now < lease.validUntil

        override fun isStoreOut(now: Moment): Boolean = store.lastAnswer + settings.storeOut < now

        override fun write(record: OwnershipRecord, then: (saved: Boolean, now: Moment) -> Unit) {
            store.call(StoreCall.Put(recordKey, codec.encode(record), recordRevision)) { reply, now ->
                when (reply) {
                    is StoreReply.Written -> {
                        recordRevision = reply.revision
                        then(true, now)
                    }
                    is StoreReply.Conflict -> conflict(record, reply, then, now)
                    else -> writeAgain(record, then, now)
                }
            }
        }

        /** The key moved on: by an own write whose answer was lost, or by the holder of a higher term. */
        private fun conflict(
            record: OwnershipRecord,
            reply: StoreReply.Conflict,
            then: (Boolean, Moment) -> Unit,
            now: Moment,
        ) {
            val stored = reply.current.value?.let { codec.decode(it).getOrNull() }
            if (stored == null || stored.term > record.term) return lost(now)
            recordRevision = reply.current.revision
            if (stored.version >= record.version) then(true, now) else write(record, then)
        }

        private fun writeAgain(record: OwnershipRecord, then: (Boolean, Moment) -> Unit, now: Moment) {
            if (allocator == null) return
            if (isStoreOut(now)) return then(false, now)
            timers.at(now + settings.storeRetry) { write(record, then) }
        }

        override fun publish(record: OwnershipRecord, now: Moment): Unit = publisher.publish(record, now)

        override fun lost(now: Moment) {
            val lost = allocator ?: return
            lost.stop()
            allocator = null
            effects.add(Effect.StateChanged(StateChange.DutyLost(pool.name, lost.term)))
        }

        fun giveUp(now: Moment) {
            if (allocator == null) return
            lost(now)
            store.call(StoreCall.Delete(dutyKey, keyRevision)) { _, _ -> }
        }

        fun handOver(now: Moment) {
            lost(now)
            handovers++
            store.call(StoreCall.Delete(dutyKey, keyRevision)) { _, _ ->
                handovers--
                finishStop()
            }
        }
    }
}
