/*
 * Derives the owner of every slot from an ownership record by rendezvous hashing: each member has a score for each
 * slot, and the member with the highest score that may hold the slot owns it. Removing a member moves only its own
 * slots, each to the member with the next highest score, so the record also determines the owners after any failure.
 * A member with a share below 100 percent may hold only that fraction of the slots, and always the same ones. An
 * exception in the record assigns a single slot explicitly, as long as its upstream is in service.
 */
package cicadagauge.routing

import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.ownership.Member
import cicadagauge.ownership.OwnedRange
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.SlotSet
import com.dynatrace.hash4j.hashing.Hashing

/** The slot owners that follow from [record]: by its ranges if it has no members, otherwise by rendezvous hashing. */
public class OwnerTable(public val record: OwnershipRecord) {
    private val owners: IntArray by lazy(LazyThreadSafetyMode.NONE) { deriveOwners() }
    private val isPlacedByRanges = record.members.isEmpty()

    /** The slot of [key], by its hash. */
    public fun slotOf(key: String): Slot {
        val hash = Hashing.xxh3_64().hashCharsToLong(key)
        // Maps the hash evenly to the slots: the high 64 bits of hash * slots. The shifts keep both factors positive.
        return Slot(Math.multiplyHigh(hash ushr 1, record.slots.toLong() shl 1).toInt())
    }

    /** The owner of [slot]; null if no member is in service, or while the slot is being moved to another owner. */
    public fun ownerOf(slot: Slot): UpstreamId? =
        if (isPlacedByRanges) rangeOf(slot)?.takeIf { it.isServed }?.owner?.upstream else memberOf(slot)

    private fun memberOf(slot: Slot): UpstreamId? = record.members.getOrNull(owners[slot.index])?.upstream

    private fun rangeOf(slot: Slot): OwnedRange? {
        val index = record.ranges.binarySearch { range ->
            when {
                range.slots.last < slot.index -> -1
                range.slots.first > slot.index -> 1
                else -> 0
            }
        }
        return record.ranges.getOrNull(index)
    }

    /** The slots that [upstream] owns by rendezvous hashing. */
    public fun slotsOf(upstream: UpstreamId): SlotSet {
        val index = record.members.indexOfFirst { it.upstream == upstream }
        return SlotSet.of(record.slots) { index >= 0 && owners[it.index] == index }
    }

    /**
     * The number of slots whose owner differs from that in [other]. With placement by ranges, it includes all slots of
     * each range that is not listed in [other] with the same properties, even if the owner is the same.
     */
    public fun movedSlotCount(other: OwnerTable): Int = if (isPlacedByRanges) {
        countMovedInRanges(other)
    } else {
        (0 until record.slots).count {
            ownerOf(Slot(it)) !=
                other.ownerOf(Slot(it))
        }
    }

    private fun countMovedInRanges(other: OwnerTable): Int {
        val known = other.record.ranges.toSet()
        return record.ranges.filter { it !in known }.sumOf { it.slots.size }
    }

    /** The number of slots of each member, in the record's order. */
    public fun slotCounts(): List<Int> {
        val slotCounts = IntArray(record.members.size)
        for (owner in owners) if (owner >= 0) slotCounts[owner]++
        return slotCounts.toList()
    }

    private fun deriveOwners(): IntArray {
        val hashes = LongArray(record.members.size) { hashOf(record.members[it].upstream) }
        val candidates = record.members.indices.filter { record.members[it].share > Member.NO_SHARE }.toIntArray()
        val derived = IntArray(record.slots) { slot -> highestScoring(slot, candidates, hashes) }
        for (exception in record.exceptions) {
            val index = record.members.indexOfFirst { it.upstream == exception.upstream }
            if (index in candidates) derived[exception.slot.index] = index
        }
        return derived
    }

    /**
     * The index of the candidate with the highest score that may hold [slot]. If none may, because all are warming up,
     * the one with the highest score of all; -1 without candidates.
     */
    private fun highestScoring(slot: Int, candidates: IntArray, hashes: LongArray): Int {
        val seed = mix(slot.toLong())
        var best = -1
        var bestScore = Long.MIN_VALUE
        var fallback = -1
        var fallbackScore = Long.MIN_VALUE
        for (index in candidates) {
            val score = mix(hashes[index] xor seed)
            if (fallback < 0 || score > fallbackScore) {
                fallback = index
                fallbackScore = score
            }
            if ((best < 0 || score > bestScore) && mayHold(index, score)) {
                best = index
                bestScore = score
            }
        }
        return if (best >= 0) best else fallback
    }

    private fun mayHold(index: Int, score: Long): Boolean {
        val share = record.members[index].share
        return share >= Member.FULL_SHARE || java.lang.Long.remainderUnsigned(mix(score), PERCENT) < share
    }

    public companion object {
        private const val PERCENT = 100L

        // The signed values of 0xff51afd7ed558ccd and 0xc4ceb9fe1a85ec53.
        private const val MIX_1 = -0xae502812aa7333L
        private const val MIX_2 = -0x3b314601e57a13adL
        private const val MIX_SHIFT = 33

        internal fun hashOf(upstream: UpstreamId): Long = Hashing.xxh3_64().hashCharsToLong(upstream.value)

        /** The 64-bit finalizer of MurmurHash3. */
        internal fun mix(value: Long): Long {
            var mixed = value
            mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_1
            mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_2
            return mixed xor (mixed ushr MIX_SHIFT)
        }
    }
}
