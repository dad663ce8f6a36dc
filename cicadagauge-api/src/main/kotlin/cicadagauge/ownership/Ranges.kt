/*
 * Ownership by contiguous ranges of slots. Each range has a fencing token, its fence, which rises whenever the range
 * changes owners; an upstream refuses orders below the highest fence that it has seen. A grant expires by itself after
 * its hold, counted from its arrival on the upstream's clock. See docs/design/ownership.md.
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

/** The slots from [first] to [last], inclusive. */
@Serializable
public data class SlotRange(val first: Int, val last: Int) {
    /** The number of slots in the range. */
    val size: Int get() = last - first + 1

    /** Whether [slot] is in the range. */
    public operator fun contains(slot: Slot): Boolean = slot.index in first..last
}

/** An upstream with its [address] and the [run] of its process, which is null if not known. */
@Serializable
public data class RangeOwner(val upstream: UpstreamId, val run: Incarnation?, val address: Address)

/**
 * A range of an ownership record.
 *
 * @property fence version of the record that assigned the range to [owner].
 * @property isServed whether [owner] has accepted its grant.
 * @property former owner that may still hold the range while it is not served by [owner], or null.
 */
@Serializable
public data class OwnedRange(
    val slots: SlotRange,
    val owner: RangeOwner,
    val fence: RecordVersion,
    val isServed: Boolean = false,
    val former: RangeOwner? = null,
)

/** Proves to the next owner of a range that the former owner has finished its requests for it. */
@JvmInline
public value class HandoverToken(public val value: String)

/** Matches a [RangeOrder] with its outcome. */
@JvmInline
public value class RangeOrderId(public val value: Long)

/** An order from a pool's allocator to one upstream that concerns one range. */
public sealed interface RangeOrder {
    public val pool: PoolName
    public val slots: SlotRange
    public val fence: RecordVersion

    /**
     * Grants [slots] to the upstream.
     *
     * @property hold how long the grant is valid, counted from the order's arrival.
     * @property handover token of the former owner, or null if there is none.
     */
    public data class Grant(
        override val pool: PoolName,
        override val slots: SlotRange,
        override val fence: RecordVersion,
        val hold: Duration,
        val handover: HandoverToken? = null,
    ) : RangeOrder

    /** Revokes [slots]; the upstream answers when no request for them runs any more. */
    public data class Release(
        override val pool: PoolName,
        override val slots: SlotRange,
        override val fence: RecordVersion,
    ) : RangeOrder
}

/** The outcome of a [RangeOrder]. */
public sealed interface RangeOrderOutcome {
    /** The upstream executed the order; the answer to a release may contain a [handover] token. */
    public data class Accepted(val handover: HandoverToken? = null) : RangeOrderOutcome

    /** The upstream refused the order because it has seen a higher fence: another allocator has taken over. */
    public data object Superseded : RangeOrderOutcome

    /** The upstream refused the order for another reason; the order had no effect. */
    public data object Rejected : RangeOrderOutcome

    /** Another upstream has answered at the address: the run that the order was meant for has ended. */
    public data object Replaced : RangeOrderOutcome

    /**
     * The address refused the connection, so the order had no effect. The upstream may run all the same, since a
     * partition can refuse connections of this VM only.
     */
    public data object Refused : RangeOrderOutcome

    /**
     * No answer arrived, and the connection was reset. The order may have arrived before that, and may still be
     * executed later; a hold is counted from the arrival even then.
     */
    public data object Unanswered : RangeOrderOutcome
}
