package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/** Decides who owns what in one keyed pool, while this VM holds the pool's duty under [term]. */
internal interface Allocator {
    /** The term under which this allocator gives orders. */
    val term: Term

    /** Takes a new declaration over. */
    fun configure(newPool: Pool, newDeclaration: Declaration)

    /** Takes an upstream's answer to a [GrantOrder]. */
    fun reported(report: GrantReport, now: Moment) = Unit

    /** Takes a report of what the pool's slots were asked for. */
    fun heated(report: PeerMessage.Heat, now: Moment) = Unit

    /** The allocator of a lower term, on [vm], has stopped. */
    fun predecessorStopped(vm: VmId, now: Moment)

    /** VM [vm] backs no lower term any more once [lasting] has passed. */
    fun termNoted(vm: VmId, lasting: Duration, now: Moment)

    /** Gives no further order. */
    fun stop()
}

/** What an allocator needs of its surroundings. */
internal interface AllocatorContext {
    /**
     * Since when it is certain that nobody holds a higher term, or null where it is not certain at [now]: the store
     * says so, or it is out and every other VM has promised to leave the duty alone.
     */
    fun confirmedSince(now: Moment): Moment?

    /**
     * Whether what was granted may be renewed at [now]: the store says that the duty is held, or a VM that gets no
     * answer from the store either has promised to leave the duty alone.
     */
    fun mayRenew(now: Moment): Boolean

    /** Whether the store has not answered for so long that losses are handled without it. */
    fun isStoreOut(now: Moment): Boolean

    /** When the store last answered this VM. */
    val storeAnsweredAt: Moment

    /** Writes [record] ahead; calls [then] once it is known to be stored, or with false once the store is out. */
    fun write(record: OwnershipRecord, then: (saved: Boolean, now: Moment) -> Unit)

    /** Tells the fleet of [record]. */
    fun publish(record: OwnershipRecord, now: Moment)

    /** The duty is lost to the holder of a higher term. */
    fun lost(now: Moment)
}
