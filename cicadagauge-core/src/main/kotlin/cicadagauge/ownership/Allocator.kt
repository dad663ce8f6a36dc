package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/**
 * Assigns the slots of one keyed pool to its upstreams while this VM holds the pool's duty (the role of its only
 * allocator) under [term].
 */
internal interface Allocator {
    /** The term under which this allocator sends orders; upstreams refuse those of a lower one. */
    val term: Term

    /** Replaces the pool and the declaration that contains it. */
    fun configure(newPool: Pool, newDeclaration: Declaration)

    /** Handles an upstream's answer to a [GrantOrder]; ignored unless the allocator sends such orders. */
    fun grantReported(report: GrantReport, now: Moment) = Unit

    /** Handles a VM's report of the request counts of the pool's slots; ignored where slots are placed by hash. */
    fun heatReported(report: PeerMessage.Heat, now: Moment) = Unit

    /** Called when the allocator of a lower term on [vm] is known to have stopped. */
    fun predecessorStopped(vm: VmId, now: Moment)

    /**
     * Called when [vm] has confirmed [term]: its promises to holders of lower terms expire after [lasting], and it
     * makes no more of them.
     */
    fun termNoted(vm: VmId, lasting: Duration, now: Moment)

    /** Stops sending orders, for good. */
    fun stop()
}

/** What an [Allocator] needs from the component that holds the duty. */
internal interface AllocatorContext {
    /**
     * The time since which it is certain that no VM holds a higher term, or null if that is not certain at [now]. It is
     * certain while this VM holds the duty under a valid store lease, or, during a store outage, while every other VM
     * has promised not to take the duty.
     */
    fun confirmedSince(now: Moment): Moment?

    /**
     * Whether grants may be renewed at [now]: this VM holds the duty under a valid store lease, or another VM that
     * gets no answer from the store either has promised not to take the duty.
     */
    fun mayRenew(now: Moment): Boolean

    /**
     * Whether this VM has known every VM that may have been an allocator, or backed one, in the store's era before the
     * present one.
     */
    val knowsEarlierVms: Boolean get() = false

    /** Whether the store has not answered for so long that lost upstreams are replaced without it. */
    fun isStoreOut(now: Moment): Boolean

    /** When the store last answered this VM. */
    val storeAnsweredAt: Moment

    /**
     * Writes [record] to the store, before it is put into force. Calls [onResult] with true once the record is stored,
     * or with false once the store is out; [onResult] may never be called if the duty is lost meanwhile.
     */
    fun write(record: OwnershipRecord, onResult: (saved: Boolean, now: Moment) -> Unit)

    /** Announces [record] to all VMs. */
    fun publish(record: OwnershipRecord, now: Moment)

    /** Reports that the holder of a higher term has taken the duty. */
    fun dutyLost(now: Moment)
}
