/*
 * The duty of one keyed pool: the role of its only allocator. A VM holds it by a key in the platform store under its
 * process lease. The compare-and-swap that writes the pool's record raises the term. A VM that no longer reaches the
 * store keeps renewing its grants; each upstream that the holder of a higher term reaches refuses these renewals.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.StateChange
import cicadagauge.peer.PeerMessage
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/** Takes, holds and gives up the duty of one pool, which counts as vacant from [since] until a holder is known. */
internal class PoolDuty(
    private var pool: Pool,
    private var declaration: Declaration,
    private val surroundings: DutySurroundings,
    private val lease: ProcessLease,
    since: Moment,
) : AllocatorContext {
    private val vms = surroundings.vms
    private val store = surroundings.store
    private val codec = surroundings.codec
    private val settings = surroundings.settings
    private val timers = surroundings.timers
    private val effects = surroundings.effects
    private var stopping = false
    private val dutyKey = StoreKey(StoreKeys.DUTIES + pool.name)
    private val recordKey = StoreKey(StoreKeys.RECORDS + pool.name)
    private var vacantSince: Moment? = since
    private var seenRevision = StoreRevision.ABSENT
    private var busy = false
    private var attempted = false
    private var isOwnKey = false
    private var keyRevision = StoreRevision.ABSENT
    private var recordRevision = StoreRevision.ABSENT
    private var heldSince: Moment? = null

    /** The promises that this VM has made to other VMs. */
    val madePromises = MadePromises(pool.name, vms, surroundings.owners, settings)

    /** The promises that other VMs have made to this one. */
    val receivedPromises = ReceivedPromises(pool.name, vms, settings)

    /** The allocator, while this VM holds the duty. */
    var allocator: Allocator? = null
        private set

    /** Replaces the pool and the declaration that contains it. */
    fun configure(newPool: Pool, newDeclaration: Declaration) {
        pool = newPool
        declaration = newDeclaration
        allocator?.configure(newPool, newDeclaration)
    }

    /** Handles a change of the duty key: [holder] is null if it was deleted. Ignored if [revision] is not a new one. */
    fun holderChanged(holder: VmId?, revision: StoreRevision, now: Moment) {
        if (revision <= seenRevision) return
        seenRevision = revision
        if (holder == null) vacantSince = vacantSince ?: now else vacantSince = null
        if (holder != null && holder != vms.self && allocator != null) lost(now)
        isOwnKey = holder == vms.self && attempted
        if (holder == null && allocator != null) keyLapsed(now) else consider(now)
    }

    /** Whether this VM may promise the holder of [term] not to take the duty. */
    fun mayPromise(term: Term, now: Moment): Boolean {
        val own = allocator
        val isHigher = own == null || own.term < term
        return !busy && isHigher && madePromises.mayPromise(term, now) && isStoreOut(now)
    }

    /** Takes the duty if it is vacant, once every VM that ranks before this one has had time to take it. */
    fun consider(now: Moment) {
        if (stopping || busy || allocator != null || !vms.isListed()) return
        if (isOwnKey) return resume(now)
        val since = vacantSince ?: return
        val rank = rank()
        if (rank < 0) return
        val due = maxOf(since + settings.standbyStagger * rank, madePromises.until, knownLongEnough())
        if (now < due) return timers.at(due, ::consider)
        lease.want(now)
        if (lease.id == null) return timers.at(now + settings.storeRetry, ::consider)
        busy = true
        attempted = true
        takeKey(now)
    }

    /** Continues with a key that this VM holds by a write whose answer was lost. */
    private fun resume(now: Moment) {
        if (now < madePromises.until) return timers.at(madePromises.until, ::consider)
        busy = true
        keyTaken(seenRevision, now)
    }

    private fun rank(): Int {
        val eligible = surroundings.watchers.eligible()
        return vms.ranked(dutyKey.value).filter { it.id in eligible }.indexOfFirst { it.id == vms.self }
    }

    /**
     * The time from which every VM that might be the allocator has this VM on its list, so that it needs this VM's
     * promise. [Moment.PAST] if there is no known allocator, or it is this VM or no longer listed.
     */
    private fun knownLongEnough(): Moment {
        val last = surroundings.owners[pool.name]?.record?.allocator ?: return Moment.PAST
        val atRisk = last != vms.self && vms.isListed(last)
        return if (atRisk) vms.selfListedSince + settings.outagePromise * 2 else Moment.PAST
    }

    /** Writes the duty key under this VM's lease. The key exists already if the answer to an earlier write was lost. */
    private fun takeKey(now: Moment) {
        val id = lease.id
        if (stopping || id == null) return release(now)
        store.call(StoreCall.Put(dutyKey, vms.self.value, StoreRevision.ABSENT, id)) { reply, moment ->
            when (reply) {
                is StoreReply.Written -> keyTaken(reply.revision, moment)
                is StoreReply.Conflict -> keyHeld(reply.current, moment)
                else -> release(moment)
            }
        }
    }

    private fun keyHeld(current: StoreEntry, now: Moment) {
        if (current.value == vms.self.value) return keyTaken(current.revision, now)
        holderChanged(current.value?.let(::VmId), current.revision, now)
        release(now)
    }

    private fun keyTaken(revision: StoreRevision, now: Moment) {
        keyRevision = revision
        seenRevision = maxOf(seenRevision, revision)
        vacantSince = null
        isOwnKey = true
        raiseTerm(now)
    }

    /** Ends an attempt to take the duty, and retries after [OwnershipSettings.storeRetry] if it is still vacant. */
    private fun release(now: Moment) {
        busy = false
        timers.at(now + settings.storeRetry, ::consider)
    }

    /** Raises the term, or resumes the one that this VM held before its lease lapsed if it is still the highest. */
    private fun raiseTerm(now: Moment) {
        if (now >= lease.validUntil) return abandon(now)
        store.call(StoreCall.Get(recordKey)) { reply, moment ->
            if (reply !is StoreReply.Found) return@call timers.at(moment + settings.storeRetry, ::raiseTerm)
            val stored = reply.entry.value?.let { codec.decode(it).getOrNull() }
            val own = allocator
            when {
                reply.entry.value != null && stored == null -> abandon(moment)
                own == null -> writeTerm(stored?.let(::successor) ?: firstRecord(), reply.entry.revision)
                stored?.term == own.term -> regained(reply.entry.revision, moment)
                else -> {
                    lost(moment)
                    abandon(moment)
                }
            }
        }
    }

    private fun regained(revision: StoreRevision, now: Moment) {
        busy = false
        recordRevision = revision
        heldSince = now
    }

    private fun writeTerm(record: OwnershipRecord, expect: StoreRevision) {
        store.call(StoreCall.Put(recordKey, codec.encode(record), expect)) { reply, moment ->
            if (reply is StoreReply.Written) begin(record, reply.revision, moment) else raiseTerm(moment)
        }
    }

    private fun begin(record: OwnershipRecord, revision: StoreRevision, now: Moment) {
        if (now >= lease.validUntil) return abandon(now)
        busy = false
        recordRevision = revision
        heldSince = now
        effects.add(Effect.StateChanged(StateChange.DutyTaken(pool.name, record.term)))
        allocator = when (pool.placement) {
            Placement.Hashed ->
                PoolAllocator(pool, declaration, record, vms, settings, timers, effects, context = this, start = now)
            Placement.Ranges -> RangeAllocator(
                pool = pool,
                declaration = declaration,
                initial = record,
                vms = vms,
                settings = settings,
                timers = timers,
                orders = surroundings.orders,
                effects = effects,
                context = this,
                start = now,
            )
        }
    }

    private fun firstRecord(): OwnershipRecord = OwnershipRecord(
        pool = pool.name,
        term = Term.NONE.next(),
        version = RecordVersion.NONE.next(),
        allocator = vms.self,
        slots = pool.slots,
        members = if (pool.placement == Placement.Ranges) emptyList() else firstMembers(),
        backedElsewhere = vms.hasSeveralZones,
    )

    private fun firstMembers() = pool.upstreams.map { upstream ->
        Member(upstream.id, if (declaration.isOut(upstream)) Member.NO_SHARE else Member.FULL_SHARE)
    }

    /** The record of the next term. Each range gets a new fence, so that its owner refuses every earlier allocator. */
    private fun successor(record: OwnershipRecord): OwnershipRecord {
        val version = record.version.next()
        return record.copy(
            term = record.term.next(),
            version = version,
            allocator = vms.self,
            predecessors = record.predecessors + record.allocator,
            ranges = record.ranges.map { it.copy(fence = version) },
            backedElsewhere = record.backedElsewhere && vms.hasSeveralZones,
        )
    }

    /** Gives up a key whose lease has expired. It can be taken again once the store has deleted it with the lease. */
    private fun abandon(now: Moment) {
        busy = false
        isOwnKey = false
        heldSince = null
        vacantSince = now
        timers.at(now + settings.dutyLease, ::consider)
    }

    /** Handles the deletion of the key, with its lease, by the store: takes it again unless another VM has taken it. */
    fun keyLapsed(now: Moment) {
        heldSince = null
        if (allocator == null || busy) return
        busy = true
        retake(now)
    }

    private fun retake(now: Moment) {
        if (allocator == null || stopping) return release(now)
        if (lease.id == null) return timers.at(now + settings.storeRetry, ::retake)
        store.call(StoreCall.Put(dutyKey, vms.self.value, StoreRevision.ABSENT, lease.id)) { reply, moment ->
            val current = (reply as? StoreReply.Conflict)?.current
            when {
                reply is StoreReply.Written -> keyTaken(reply.revision, moment)
                current == null -> timers.at(moment + settings.storeRetry, ::retake)
                current.value != vms.self.value -> {
                    lost(moment)
                    keyHeld(current, moment)
                }
                current.revision > keyRevision -> keyTaken(current.revision, moment)
                else -> timers.at(moment + settings.storeRetry, ::retake)
            }
        }
    }

    override fun confirmedSince(now: Moment): Moment? {
        val term = allocator?.term
        if (now < lease.validUntil && !busy) return heldSince
        if (term == null || !isStoreOut(now)) return null
        receivedPromises.query(term, now)
        return receivedPromises.completeSince(now)
    }

    override fun mayRenew(now: Moment): Boolean {
        if (now < lease.validUntil && !busy && heldSince != null) return true
        allocator?.let { receivedPromises.query(it.term, now) }
        return receivedPromises.canBackRenewals(now)
    }

    override val storeAnsweredAt: Moment get() = store.lastAnswer

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

    /**
     * Handles a changed revision of the record's key: by a write of this VM whose answer was lost, or by the holder of
     * a higher term.
     */
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

    override fun publish(record: OwnershipRecord, now: Moment): Unit = surroundings.publisher.publish(record, now)

    override fun lost(now: Moment) {
        val lost = allocator ?: return
        lost.stop()
        allocator = null
        isOwnKey = false
        heldSince = null
        effects.add(Effect.StateChanged(StateChange.DutyLost(pool.name, lost.term)))
        timers.at(now + settings.storeRetry, ::consider)
    }

    /** Gives up the duty because the pool is no longer declared. */
    fun giveUp(now: Moment) {
        stopping = true
        if (allocator == null) return
        lost(now)
        store.call(StoreCall.Delete(dutyKey, keyRevision)) { _, _ -> }
    }

    /**
     * Gives up the duty because the process stops, and calls [done] once the key is deleted. While the store does not
     * answer, no VM can take the duty, so grants are still renewed on promises of other VMs. These are told that the
     * allocator has stopped, so that none waits for its promise to end.
     */
    fun handOver(done: () -> Unit) {
        stopping = true
        heldSince = null
        val term = allocator?.term ?: return done()
        store.call(StoreCall.Delete(dutyKey, keyRevision)) { reply, moment ->
            if (reply == StoreReply.Unavailable && allocator != null) {
                timers.at(moment + settings.storeRetry) { handOver(done) }
            } else {
                lost(moment)
                vms.peers.forEach { vms.send(it, PeerMessage.Yielded(pool.name, term.next())) }
                done()
            }
        }
    }
}
