/*
 * Ownership by contiguous ranges of slots. Each range has a fence that rises whenever the range changes hands; an
 * upstream refuses orders below the highest fence that it has seen. A grant ends by itself after its hold, counted
 * from its arrival on the upstream's clock. See docs/design/ownership.md.
 */
package cicadagauge.ownership

import cicadagauge.identity.Address
import cicadagauge.identity.Incarnation
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** The slots from [first] to [last], both included. */
@Serializable
public data class SlotRange(val first: Int, val last: Int) {
    /** How many slots the range has. */
    val size: Int get() = last - first + 1

    /** Whether [slot] lies in the range. */
    public operator fun contains(slot: Slot): Boolean = slot.index in first..last
}

/** An upstream in one [run] of its process, null where the run is not known, and where it is. */
@Serializable
public data class RangeOwner(val upstream: UpstreamId, val run: Incarnation?, val address: Address)

/**
 * One range of an ownership record. [fence] is the version of the record that gave the range to [owner]. Until
 * [isServed] the range is on its way: [former], if any, may still hold it.
 */
@Serializable
public data class OwnedRange(
    val slots: SlotRange,
    val owner: RangeOwner,
    val fence: RecordVersion,
    val isServed: Boolean = false,
    val former: RangeOwner? = null,
)

/** Proves to the next owner of a range that the former one has finished its work on it. */
@JvmInline
public value class HandoverToken(public val value: String)

/** Pairs a [RangeOrder] with its outcome. */
@JvmInline
public value class RangeOrderId(public val value: Long)

/** An order from a pool's allocator to one upstream, about one range. */
public sealed interface RangeOrder {
    public val pool: PoolName
    public val slots: SlotRange
    public val fence: RecordVersion

    /** Lets the upstream own [slots] for [hold] from the order's arrival. */
    public data class Grant(
        override val pool: PoolName,
        override val slots: SlotRange,
        override val fence: RecordVersion,
        val hold: Duration,
        val handover: HandoverToken? = null,
    ) : RangeOrder

    /** Takes [slots] back; the answer comes when no work on them runs any more. */
    public data class Release(
        override val pool: PoolName,
        override val slots: SlotRange,
        override val fence: RecordVersion,
    ) : RangeOrder
}

/** What became of a [RangeOrder]. */
public sealed interface RangeOrderOutcome {
    /** The upstream has carried it out; a release may bring a [handover]. */
    public data class Accepted(val handover: HandoverToken? = null) : RangeOrderOutcome

    /** The upstream has seen a higher fence, so another allocator has taken over. */
    public data object Superseded : RangeOrderOutcome

    /** The upstream refused the order for another reason, and did nothing. */
    public data object Rejected : RangeOrderOutcome

    /** Nothing listens at the address, or another upstream does: the upstream's run has ended. */
    public data object Gone : RangeOrderOutcome

    /**
     * No answer came, and the connection was reset. The order may have arrived until then, and may be carried out
     * later; a hold counts from its arrival all the same.
     */
    public data object Unanswered : RangeOrderOutcome
}
