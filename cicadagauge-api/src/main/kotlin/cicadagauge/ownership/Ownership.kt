/*
 * Who owns which slot. A pool's owners follow from a small record by rendezvous hashing, so that a change of
 * owners is one short message however many slots it moves. One lease per upstream carries all its slots.
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
 * What every node derives a pool's owners from.
 *
 * [members] lists the upstreams that may own slots, [exceptions] the slots that an explicit placement moves away
 * from their derived owner. [predecessors] are the allocators of lower terms that are not yet known to have
 * stopped: what they granted may still be held. [backedElsewhere] says that all of these allocators renew without the
 * store only by the word of VMs in other availability zones than their own.
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
) {
    /** Whether this record replaces [other]: a higher term, or a higher version of the same term. */
    public fun replaces(other: OwnershipRecord?): Boolean =
        other == null || term > other.term || (term == other.term && version > other.version)
}

/**
 * An upstream that may own slots. [share] is the part, in percent, of its own slots that it may hold: zero while
 * it is out, less than a hundred while it warms up.
 */
@Serializable
public data class Member(val upstream: UpstreamId, val share: Int = FULL_SHARE) {
    public companion object {
        /** The share of a member that is out. */
        public const val NO_SHARE: Int = 0

        /** The share of a warm member. */
        public const val FULL_SHARE: Int = 100
    }
}

/** An explicit placement of one hot slot. */
@Serializable
public data class SlotException(val slot: Slot, val upstream: UpstreamId)

/** A set of slots, kept as a bit set; immutable from outside. */
public class SlotSet private constructor(private val bits: BitSet) {
    /** How many slots are in the set. */
    public val size: Int get() = bits.cardinality()

    /** Whether [slot] is in the set. */
    public operator fun contains(slot: Slot): Boolean = bits[slot.index]

    /** The slots that are in this set and in [other]. */
    public fun intersect(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { and(other.bits) })

    /** The slots that are in this set, in [other] or in both. */
    public operator fun plus(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { or(other.bits) })

    /** The slots that are in this set and not in [other]. */
    public operator fun minus(other: SlotSet): SlotSet = SlotSet((bits.clone() as BitSet).apply { andNot(other.bits) })

    /** The slots in ascending order. */
    public fun toList(): List<Slot> = bits.stream().toArray().map(::Slot)

    /** The set's wire form: one bit a slot, lowest first. */
    public fun toByteArray(): ByteArray = bits.toByteArray()

    override fun equals(other: Any?): Boolean = other is SlotSet && bits == other.bits

    override fun hashCode(): Int = bits.hashCode()

    override fun toString(): String = bits.toString()

    public companion object {
        /** The set without slots. */
        public val EMPTY: SlotSet = SlotSet(BitSet())

        /** The set of all slots below [count] that [predicate] accepts. */
        public fun of(count: Int, predicate: (Slot) -> Boolean): SlotSet {
            val bits = BitSet(count)
            for (index in 0 until count) if (predicate(Slot(index))) bits.set(index)
            return SlotSet(bits)
        }

        /** The set of [slots]. */
        public fun of(slots: Iterable<Slot>): SlotSet = SlotSet(BitSet().apply { slots.forEach { set(it.index) } })

        /** The set whose wire form is [bytes]. */
        public fun of(bytes: ByteArray): SlotSet = SlotSet(BitSet.valueOf(bytes))
    }
}

/** The steps in which owners change: first every upstream gives up what it loses, then each takes what it gains. */
public enum class GrantPhase {
    /** The slots that an upstream owns both before and after the change. */
    Shrink,

    /** All slots that an upstream owns after the change. */
    Full,
}

/** A position in a pool's history of grants; a later one replaces an earlier one. */
public data class GrantStep(val term: Term, val version: RecordVersion, val phase: GrantPhase) : Comparable<GrantStep> {
    override fun compareTo(other: GrantStep): Int =
        compareValuesBy(this, other, { it.term }, { it.version }, { it.phase })

    public companion object {
        /** Before the first grant. */
        public val NONE: GrantStep = GrantStep(Term.NONE, RecordVersion.NONE, GrantPhase.Full)
    }
}

/** An order from a pool's allocator to one upstream. */
public sealed interface GrantOrder {
    public val pool: PoolName
    public val upstream: UpstreamId
    public val term: Term

    /** Raises the upstream's term, so that it refuses lower ones, and asks what it holds. */
    public data class Claim(override val pool: PoolName, override val upstream: UpstreamId, override val term: Term) :
        GrantOrder

    /**
     * Grants [slots] until the upstream's own clock reads [expiresAt].
     *
     * The expiry counts from a reading that the upstream itself reported, so the time that this order spends in
     * flight never lengthens the lease. [incarnation] is the run that reported the reading; any other run
     * refuses the order. [content] is null where the upstream has already reported [step].
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

/** What a lease covers: [slots], and the record's [members] at that step, kept for a later allocator. */
public data class GrantContent(val slots: SlotSet, val members: List<Member>)

/**
 * An upstream's answer to a [GrantOrder]: what it holds at [reading] of its own clock.
 *
 * [accepted] is false for an order of a lower term or for another run. [leaseValid] says whether [slots] are held
 * under a lease that had not expired at [reading].
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
