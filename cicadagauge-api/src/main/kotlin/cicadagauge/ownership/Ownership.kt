/*
 * Ownership of slots. The owners of a pool's slots are derived from a small record by rendezvous hashing, so that a
 * change of owners takes one short message, however many slots it moves. One lease per upstream covers all its slots.
 * See docs/design/ownership.md for the protocol and its proof.
 */
package cicadagauge.ownership

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import kotlinx.serialization.Serializable
import java.util.BitSet

/**
 * The record from which every node derives the owners of a pool's slots.
 *
 * @property allocator VM that holds the pool's duty under [term]: it decides the owners and grants them their slots.
 * @property slots number of slots of the pool.
 * @property members upstreams that may own slots; empty if the pool is placed by ranges.
 * @property exceptions slots that are placed explicitly and not with their derived owner.
 * @property predecessors allocators of lower terms that are not yet known to have stopped: leases that they granted may
 * still be valid.
 * @property ranges owned ranges in ascending order; empty if the pool is placed by hashing.
 * @property backedElsewhere whether [allocator] and all [predecessors], while the store does not answer, renew leases
 * only if a VM in another availability zone than their own has promised not to take the duty.
 * @property isUnsettled whether upstreams may hold slots of which no record tells, because the store has lost records
 * of an earlier era.
 */
@Serializable
public data class OwnershipRecord(
    val pool: PoolName,
    val term: Term,
    val version: RecordVersion,
    val allocator: VmId,
    val slots: Int,
    val members: List<Member>,
    val exceptions: List<SlotException> = emptyList(),
    val predecessors: Set<VmId> = emptySet(),
    val ranges: List<OwnedRange> = emptyList(),
    val backedElsewhere: Boolean = false,
    val isUnsettled: Boolean = false,
) {
    /** Whether this record is newer than [other]: of a higher term, or of a higher version in the same term. */
    public fun replaces(other: OwnershipRecord?): Boolean =
        other == null || term > other.term || (term == other.term && version > other.version)
}

/**
 * An upstream that may own slots.
 *
 * @property share percentage of its derived slots that it may hold: zero while it is out of service, less than a
 * hundred while it warms up.
 */
@Serializable
public data class Member(val upstream: UpstreamId, val share: Int = FULL_SHARE) {
    public companion object {
        /** The [share], in percent, of a member that is out of service. */
        public const val NO_SHARE: Int = 0

        /** The [share], in percent, of a member that has warmed up. */
        public const val FULL_SHARE: Int = 100
    }
}

/** An explicit placement of one heavily loaded slot. */
@Serializable
public data class SlotException(val slot: Slot, val upstream: UpstreamId)

/** An immutable set of slots, stored as a bit set. */
public class SlotSet private constructor(private val bits: BitSet) {
    /** The number of slots in the set. */
    public val size: Int get() = bits.cardinality()

    /** Whether [slot] is in the set. */
    public operator fun contains(slot: Slot): Boolean = bits[slot.index]

    /** Returns the slots that are in this set and in [other]. */
    public fun intersect(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { and(other.bits) })

    /** Returns the slots that are in this set, in [other] or in both. */
    public operator fun plus(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { or(other.bits) })

    /** Returns the slots that are in this set and not in [other]. */
    public operator fun minus(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { andNot(other.bits) })

    /** Returns the slots in ascending order. */
    public fun toList(): List<Slot> = bits.stream().toArray().map(::Slot)

    /** Returns the wire form of the set: one bit per slot, lowest first. */
    public fun toByteArray(): ByteArray = bits.toByteArray()

    override fun equals(other: Any?): Boolean = other is SlotSet && bits == other.bits

    override fun hashCode(): Int = bits.hashCode()

    override fun toString(): String = bits.toString()

    public companion object {
        /** The empty set. */
        public val EMPTY: SlotSet = SlotSet(BitSet())

        /** Returns the set of all slots below [count] that satisfy [predicate]. */
        public fun of(count: Int, predicate: (Slot) -> Boolean): SlotSet {
            val bits = BitSet(count)
            for (index in 0 until count) if (predicate(Slot(index))) bits.set(index)
            return SlotSet(bits)
        }

        /** Returns the set of [slots]. */
        public fun of(slots: Iterable<Slot>): SlotSet = SlotSet(BitSet().apply { slots.forEach { set(it.index) } })

        /** Returns the set whose wire form is [bytes], see [toByteArray]. */
        public fun of(bytes: ByteArray): SlotSet = SlotSet(BitSet.valueOf(bytes))
    }
}

/**
 * The phases of a change of owners: first every upstream releases the slots that it loses, then each is granted those
 * that it gains.
 */
public enum class GrantPhase {
    /** An upstream holds only the slots that it owns both before and after the change. */
    Shrink,

    /** An upstream holds all slots that it owns after the change. */
    Full,
}

/** A position in the sequence of a pool's grants; a grant of a later step replaces that of an earlier one. */
public data class GrantStep(val term: Term, val version: RecordVersion, val phase: GrantPhase) : Comparable<GrantStep> {
    override fun compareTo(other: GrantStep): Int =
        compareValuesBy(this, other, { it.term }, { it.version }, { it.phase })

    public companion object {
        /** The step before the first grant. */
        public val NONE: GrantStep = GrantStep(Term.NONE, RecordVersion.NONE, GrantPhase.Full)
    }
}

/** An order from a pool's allocator to one upstream. */
public sealed interface GrantOrder {
    public val pool: PoolName
    public val upstream: UpstreamId
    public val term: Term

    /** Raises the upstream's term, so that it refuses orders of lower terms, and queries its state. */
    public data class Claim(override val pool: PoolName, override val upstream: UpstreamId, override val term: Term) :
        GrantOrder

    /**
     * Grants the slots in [content] until the upstream's own clock reads [expiresAt].
     *
     * The expiry is based on a clock reading that the upstream itself reported, so that the time that this order is in
     * transit never extends the lease.
     *
     * @property incarnation run of the upstream that reported the reading; any other run refuses the order.
     * @property content null if the upstream has already reported [step].
     */
    public data class Lease(
        override val pool: PoolName,
        override val upstream: UpstreamId,
        override val term: Term,
        val incarnation: Incarnation,
        val step: GrantStep,
        val content: GrantContent?,
        val expiresAt: Moment,
    ) : GrantOrder
}

/** The [slots] that a lease covers, and the [members] of the record at that step, for a later allocator to read. */
public data class GrantContent(val slots: SlotSet, val members: List<Member>)

/**
 * An upstream's answer to a [GrantOrder]: its state when its own clock read [reading].
 *
 * @property accepted false if the order was refused, for example for a lower term or another run.
 * @property step last step that the upstream has completed.
 * @property slots slots that the upstream holds, and those for which requests still run.
 * @property leaseValid whether the lease on [slots] had not expired at [reading].
 * @property members members of the record in the last accepted [GrantContent].
 * @property draining whether the upstream accepts no new requests.
 */
public data class GrantReport(
    val pool: PoolName,
    val upstream: UpstreamId,
    val incarnation: Incarnation,
    val reading: Moment,
    val accepted: Boolean,
    val term: Term,
    val step: GrantStep,
    val slots: SlotSet,
    val leaseValid: Boolean,
    val members: List<Member>,
    val draining: Boolean = false,
)
