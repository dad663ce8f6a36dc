/*
 * The duty of one keyed pool: the role of its only allocator. A VM holds it by a key in the platform store under its
 * process lease. The compare-and-swap that writes the pool's record raises the term. A VM that no longer reaches the
 * store keeps renewing its grants; an upstream refuses these once the holder of a higher term has reached it.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.StateChange
import cicadagauge.peer.PeerMessage
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/** Takes, holds and gives up the duty of one pool, which counts as vacant from [since] until a holder is known. */
internal class PoolDuty(
    private var pool: Pool,
    private var declaration: Declaration,
    private val dependencies: DutyServices,
    private val lease: ProcessLease,
    since: Moment,
) : AllocatorContext {
    private val vms = dependencies.vms
    private val store = dependencies.store
    private val codec = dependencies.codec
    private val settings = dependencies.settings
    private val timers = dependencies.timers
    private val effects = dependencies.effects
    private val earlierEras = EarlierEras(store, vms, settings)
    private val records = TermRecords(vms, store, earlierEras)
    private val calls = EraCalls(store, timers)
    private var isStopping = false
    private var isWithdrawn = false
    private var isHandingOver = false
    private val dutyKey = StoreKey(StoreKeys.DUTIES + pool.name)
    private val recordKey = StoreKey(StoreKeys.RECORDS + pool.name)
    private var vacantSince: Moment? = since
    private var seenRevision = StoreRevision.ABSENT
    private var isTakingDuty = false
    private var hasAttempted = false
    private var isOwnKey = false
    private var keyRevision = StoreRevision.ABSENT

    /** The revision of the duty key while the store holds it for this VM, as far as that is known; else null. */
    private var ownKeyRevision: StoreRevision? = null
    private val keyRelease = DutyKeyRelease(dutyKey, calls, settings)
    private var heldSince: Moment? = null
    private val recordWriter = RecordWriter(
        key = recordKey,
        codec = codec,
        calls = calls,
        settings = settings,
        isActive = { allocator != null },
        isStoreOut = ::isStoreOut,
        onSuperseded = ::dutyLost,
    )

    /** The promises that this VM has made to other VMs. */
    val madePromises = MadePromises(pool.name, vms, dependencies.owners, settings)

    private val turn = TakeoverTurn(pool.name, dutyKey, dependencies, madePromises)

    /** The promises that other VMs have made to this one. */
    val receivedPromises = ReceivedPromises(pool.name, vms, settings)

    /** The allocator, while this VM holds the duty. */
    var allocator: Allocator? = null
        private set

    /** Replaces the pool and the declaration that contains it. The duty of a withdrawn pool may be taken again. */
    fun configure(newPool: Pool, newDeclaration: Declaration, now: Moment) {
        pool = newPool
        declaration = newDeclaration
        if (isWithdrawn && vacantSince != null) vacantSince = now
        isWithdrawn = false
        allocator?.configure(newPool, newDeclaration)
    }

    /** Gives up the duty because the pool is no longer declared; see [configure]. */
    fun withdraw(now: Moment) {
        if (isWithdrawn) return
        isWithdrawn = true
        dutyLost(now)
        takeIfDue(now)
    }

    /** Handles a change of the duty key: [holder] is null if it was deleted. Ignored if [revision] is not a new one. */
    fun holderChanged(holder: VmId?, revision: StoreRevision, now: Moment) {
        if (revision <= seenRevision) return
        seenRevision = revision
        ownKeyRevision = if (holder == vms.self) revision else null
        if (holder == vms.self && earlierEras.hasChanged && !hasAttempted) return earlierKeyFound(now)
        if (holder == null) vacantSince = vacantSince ?: now else vacantSince = null
        if (holder != null && holder != vms.self && allocator != null) dutyLost(now)
        isOwnKey = holder == vms.self && hasAttempted
        if (holder == null && allocator != null) keyDeleted(now) else takeIfDue(now)
    }

    /**
     * Handles the key of an earlier era, under a lease that was given up. The last allocator replaces it; any other VM
     * deletes it, to leave the duty to that one.
     */
    private fun earlierKeyFound(now: Moment) {
        vacantSince = vacantSince ?: now
        if (earlierEras.isLastAllocator) takeIfDue(now) else releaseOwnKey()
    }

    /** Deletes the duty key if the store holds it for this VM, which neither holds nor takes the duty. */
    private fun releaseOwnKey() {
        val revision = ownKeyRevision ?: return
        if (keyRelease.isRunning) return
        keyRelease.begin(revision) { now ->
            if (ownKeyRevision == revision) ownKeyRevision = null
            isOwnKey = false
            vacantSince = vacantSince ?: now
            effects.add(Effect.StateChanged(StateChange.DutyKeyReleased(pool.name)))
            takeIfDue(now)
        }
    }

    /** Gives up what this VM held in [previous], an earlier era of the store, and takes it again if it may. */
    fun eraChanged(previous: StoreEra, now: Moment) {
        val isActive = allocator != null && !isTakingDuty && !dependencies.reachability.isInDoubt
        val isBacked = (heldSince != null && now < lease.validUntil) || receivedPromises.completeSince(now) != null
        earlierEras.eraChanged(previous, isCertain = isActive && isBacked, now = now)
        calls.eraChanged()
        keyRelease.eraChanged()
        ownKeyRevision = null
        receivedPromises.discard()
        madePromises.termRaised(store.era.firstTerm, now)
        seenRevision = StoreRevision.ABSENT
        hasAttempted = false
        isOwnKey = false
        isTakingDuty = false
        vacantSince = if (earlierEras.isLastAllocator) now else now + settings.holderHeadStart
        dutyLost(now)
        takeIfDue(now)
    }

    /** Whether this VM may promise the holder of [term] not to take the duty. */
    fun mayPromise(term: Term, now: Moment): Boolean {
        val own = allocator
        val isHigher = own == null || own.term < term
        return !isTakingDuty && isHigher && madePromises.mayPromise(term, now) && isStoreOut(now)
    }

    /**
     * Takes the duty if it is vacant, once every VM that ranks before this one has had time to take it. Where this VM
     * may not take it, it doesn't keep its key either.
     */
    fun takeIfDue(now: Moment) {
        if (isStopping || isHandingOver || isTakingDuty || allocator != null || !vms.hasList()) return
        if (keyRelease.isRunning) return
        if (isWithdrawn || vms.isBypassed()) return releaseOwnKey()
        if (isOwnKey) return resume(now)
        val since = vacantSince ?: return
        val due = turn.after(since) ?: return releaseOwnKey()
        if (now < due) return timers.at(due, ::takeIfDue)
        lease.acquire(now)
        if (lease.id == null) return timers.at(now + settings.storeRetry, ::takeIfDue)
        isTakingDuty = true
        hasAttempted = true
        takeKey(now)
    }

    /** Continues with a key that this VM holds by a write whose answer was lost. */
    private fun resume(now: Moment) {
        if (now < madePromises.until) return timers.at(madePromises.until, ::takeIfDue)
        isTakingDuty = true
        if (earlierEras.hasChanged) takeKey(now) else keyTaken(seenRevision, now)
    }

    /** Writes the duty key under this VM's lease. The key exists already if the answer to an earlier write was lost. */
    private fun takeKey(now: Moment, expect: StoreRevision = StoreRevision.ABSENT) {
        val id = lease.id
        if (isStopping || id == null) return endAttempt(now)
        calls.call(StoreCall.Put(dutyKey, vms.self.value, expect, id)) { reply, moment ->
            when (reply) {
                is StoreReply.Written -> keyTaken(reply.revision, moment)
                is StoreReply.Conflict -> keyHeld(reply.current, moment)
                else -> endAttempt(moment)
            }
        }
    }

    /**
     * Handles a write of the duty key that failed with a conflict: [current] tells which VM holds the key. After a
     * change of the store's era, a key of this VM may be bound to a lease of another, since leases are given out again.
     */
    private fun keyHeld(current: StoreEntry, now: Moment) {
        if (current.value == vms.self.value) {
            return if (earlierEras.hasChanged) takeKey(now, current.revision) else keyTaken(current.revision, now)
        }
        holderChanged(current.value?.let(::VmId), current.revision, now)
        endAttempt(now)
    }

    private fun keyTaken(revision: StoreRevision, now: Moment) {
        keyRevision = revision
        ownKeyRevision = revision
        seenRevision = maxOf(seenRevision, revision)
        vacantSince = null
        isOwnKey = true
        acquireTerm(now)
    }

    /** Ends an attempt to take the duty, and retries after [OwnershipSettings.storeRetry] if it is still vacant. */
    private fun endAttempt(now: Moment) {
        isTakingDuty = false
        timers.at(now + settings.storeRetry, ::takeIfDue)
    }

    /** Raises the term, or resumes the one that this VM held before its lease lapsed if it is still the highest. */
    private fun acquireTerm(now: Moment) {
        if (isWithdrawn) return endAttempt(now)
        if (now >= lease.validUntil) return giveUpKey(now)
        calls.call(StoreCall.Get(recordKey)) { reply, moment ->
            if (reply !is StoreReply.Found) return@call calls.at(moment + settings.storeRetry, ::acquireTerm)
            val stored = reply.entry.value?.let { codec.decode(it).getOrNull() }
            val own = allocator
            when {
                reply.entry.value != null && stored == null -> giveUpKey(moment)
                own == null -> {
                    val known = listOf(dependencies.owners[pool.name]?.record, recordWriter.lastWritten)
                    val base = earlierEras.newest(stored, known)
                    writeTerm(records.next(base, pool, declaration), reply.entry.revision)
                }
                stored?.term == own.term -> termResumed(reply.entry.revision, moment)
                else -> {
                    dutyLost(moment)
                    giveUpKey(moment)
                }
            }
        }
    }

    private fun termResumed(revision: StoreRevision, now: Moment) {
        isTakingDuty = false
        recordWriter.resume(revision)
        heldSince = now
        handOverToReaching(now)
    }

    private fun writeTerm(record: OwnershipRecord, expect: StoreRevision) {
        calls.call(StoreCall.Put(recordKey, codec.encode(record), expect)) { reply, moment ->
            if (reply is StoreReply.Written) startAllocator(record, reply.revision, moment) else acquireTerm(moment)
        }
    }

    private fun startAllocator(record: OwnershipRecord, revision: StoreRevision, now: Moment) {
        if (isWithdrawn) return endAttempt(now)
        if (now >= lease.validUntil) return giveUpKey(now)
        isTakingDuty = false
        recordWriter.begin(record, revision)
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
                orders = dependencies.orders,
                effects = effects,
                context = this,
                start = now,
            )
        }
        handOverToReaching(now)
    }

    /**
     * Ends an attempt whose key is written but can't be used: its lease has expired, the stored record can't be decoded
     * or another VM has raised the term. Retries after [OwnershipSettings.dutyLease], by which time the store has
     * deleted a key whose lease has expired.
     */
    private fun giveUpKey(now: Moment) {
        isTakingDuty = false
        isOwnKey = false
        heldSince = null
        vacantSince = now
        timers.at(now + settings.dutyLease, ::takeIfDue)
    }

    /** Handles the deletion of the key, with its lease, by the store: takes it again unless another VM has taken it. */
    fun keyDeleted(now: Moment) {
        heldSince = null
        ownKeyRevision = null
        if (allocator == null || isTakingDuty) return
        isTakingDuty = true
        retakeKey(now)
    }

    private fun retakeKey(now: Moment, expect: StoreRevision = StoreRevision.ABSENT) {
        if (allocator == null || isStopping || isHandingOver) return endAttempt(now)
        if (lease.id == null) return calls.at(now + settings.storeRetry) { retakeKey(it) }
        calls.call(StoreCall.Put(dutyKey, vms.self.value, expect, lease.id)) { reply, moment ->
            val current = (reply as? StoreReply.Conflict)?.current
            when {
                reply is StoreReply.Written -> keyTaken(reply.revision, moment)
                current == null -> calls.at(moment + settings.storeRetry) { retakeKey(it) }
                current.value != vms.self.value -> {
                    dutyLost(moment)
                    keyHeld(current, moment)
                }
                earlierEras.hasChanged -> retakeKey(moment, current.revision)
                current.revision > keyRevision -> keyTaken(current.revision, moment)
                else -> calls.at(moment + settings.storeRetry) { retakeKey(it) }
            }
        }
    }

    override fun confirmedSince(now: Moment): Moment? {
        if (dependencies.reachability.isInDoubt) return null
        val term = allocator?.term
        if (now < lease.validUntil && !isTakingDuty) return heldSince
        if (term == null || !isStoreOut(now)) return null
        receivedPromises.query(term, now)
        return receivedPromises.completeSince(now)
    }

    override fun mayRenew(now: Moment): Boolean {
        if (now < lease.validUntil && !isTakingDuty && heldSince != null) return true
        allocator?.let { receivedPromises.query(it.term, now) }
        return receivedPromises.canBackRenewals(now)
    }

    override val storeAnsweredAt: Moment get() = store.lastAnswerAt

    override fun isStoreOut(now: Moment): Boolean = store.lastAnswerAt + settings.storeOutTimeout < now

    override fun write(record: OwnershipRecord, onResult: (saved: Boolean, now: Moment) -> Unit): Unit =
        recordWriter.write(record, onResult)

    override val knowsEarlierVms: Boolean get() = earlierEras.isVmListComplete

    override fun publish(record: OwnershipRecord, now: Moment): Unit = dependencies.publisher.publish(record, now)

    /**
     * Stops the allocator, if any: the duty was lost to another VM, or this VM gives it up. It is vacant where no other
     * VM has written the key since.
     */
    override fun dutyLost(now: Moment) {
        val stopped = allocator ?: return
        stopped.stop()
        allocator = null
        isOwnKey = false
        heldSince = null
        if (ownKeyRevision != null) vacantSince = vacantSince ?: now
        effects.add(Effect.StateChanged(StateChange.DutyLost(pool.name, stopped.term)))
        timers.at(now + settings.storeRetry, ::takeIfDue)
    }

    /**
     * Gives up the duty because the process stops, and calls [onHandedOver] once the key is deleted, or at once if this
     * VM does not hold the duty. While the store does not answer, no VM can take the duty, so grants are still renewed
     * on promises of other VMs. Once the key is deleted, all other VMs are told that the allocator has stopped, so that
     * none waits for its promise to end.
     */
    fun handOver(onHandedOver: () -> Unit) {
        isStopping = true
        heldSince = null
        if (allocator == null) return onHandedOver()
        release(onRetry = { handOver(onHandedOver) }, onReleased = { onHandedOver() })
    }

    /**
     * Gives up the duty while this VM reaches no upstream, but others do. Continues with it if upstreams are back
     * before the store has answered.
     */
    fun handOverToReaching(now: Moment) {
        if (allocator == null || isTakingDuty || isStopping || isHandingOver || !vms.isBypassed()) return
        isHandingOver = true
        continueHandOver(now)
    }

    private fun continueHandOver(now: Moment) {
        heldSince = null
        if (allocator != null && vms.isBypassed()) {
            return release(onRetry = ::continueHandOver, onReleased = ::continueHandOver)
        }
        isHandingOver = false
        if (allocator == null || isStopping) return takeIfDue(now)
        isTakingDuty = true
        acquireTerm(now)
    }

    /** Deletes the key and tells all VMs that the allocator has stopped; [onRetry] follows if the store is out. */
    private fun release(onRetry: (Moment) -> Unit, onReleased: (Moment) -> Unit) {
        val term = allocator?.term ?: return
        store.call(StoreCall.Delete(dutyKey, keyRevision)) { reply, moment ->
            if (reply == StoreReply.Unavailable && allocator != null) {
                timers.at(moment + settings.storeRetry, onRetry)
            } else {
                if (reply != StoreReply.Unavailable) ownKeyRevision = null
                dutyLost(moment)
                vms.peers.forEach { vms.send(it, PeerMessage.Yielded(pool.name, term.next())) }
                onReleased(moment)
            }
        }
    }
}
