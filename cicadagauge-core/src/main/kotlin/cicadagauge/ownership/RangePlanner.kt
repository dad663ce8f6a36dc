/*
 * Decides which upstream should own which slots of a pool that is placed by ranges. As few ranges as possible move: an
 * owner that is still usable keeps its ranges, those of other owners go to the least utilized upstreams, an upstream
 * that owns nothing takes half of the busiest range, and an overloaded owner gives a part of a range away.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Upstream
import cicadagauge.identity.UpstreamId
import kotlin.math.abs
import kotlin.time.DurationUnit

/**
 * A range in a plan.
 *
 * @property owner null if the range needs a new owner
 * @property isMovable whether the range, or a part of it, may be moved to another owner by choice
 */
internal data class PlannedRange(val slots: SlotRange, val owner: UpstreamId?, val isMovable: Boolean = true)

/** Plans the ranges of one pool of [slots] slots by their request rates, [heat]. */
internal class RangePlanner(private val slots: Int, private val heat: RangeHeat) {
    /** The ranges that the [usable] upstreams should own. The [current] ranges must cover all slots, or be empty. */
    fun plan(current: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        if (usable.isEmpty()) return current
        if (current.isEmpty()) return splitEvenly(usable.map { it.id })
        val owned = addOwners(assignOrphans(current, usable), usable)
        return (1..MAX_MOVES).fold(owned) { ranges, _ -> balance(ranges, usable) }
    }

    private fun splitEvenly(owners: List<UpstreamId>): List<PlannedRange> = owners.mapIndexed { index, owner ->
        val first = (slots.toLong() * index / owners.size).toInt()
        val next = (slots.toLong() * (index + 1) / owners.size).toInt()
        PlannedRange(SlotRange(first, next - 1), owner)
    }

    /** Assigns each range without an owner to the upstream that is the least utilized so far. */
    private fun assignOrphans(ranges: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        val utilization = Utilization(ranges, usable)
        return ranges.map { range ->
            if (range.owner != null) return@map range
            val newOwner = utilization.leastUtilized()
            utilization.add(newOwner, range.slots)
            range.copy(owner = newOwner.id, isMovable = false)
        }
    }

    /** Gives each upstream that owns nothing half of the range with the highest request rate. */
    private fun addOwners(ranges: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        val owners = ranges.mapNotNull { it.owner }.toSet()
        return usable.filter { it.id !in owners }.fold(ranges) { all, newOwner ->
            val hottest = all.filter { it.isMovable && it.slots.size > 1 }.maxByOrNull { heat.rateOf(it.slots) }
            hottest?.let { move(all, it, upperPart(it.slots, heat.rateOf(it.slots) / 2), newOwner) } ?: all
        }
    }

    /**
     * Moves a range, or a part of one, from the most to the least utilized upstream, if the utilization of the former
     * is at least [MIN_DONOR_UTILIZATION] and the difference at least [MIN_UTILIZATION_GAP]. Prefers a part of few
     * slots whose request rate is close to the one that should move.
     */
    private fun balance(ranges: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        val utilization = Utilization(ranges, usable)
        val donor = utilization.mostUtilized()
        val taker = utilization.leastUtilized()
        val gap = utilization[donor] - utilization[taker]
        if (utilization[donor] < MIN_DONOR_UTILIZATION || gap < MIN_UTILIZATION_GAP) return ranges
        // The request rate whose move makes both equally utilized.
        val rate = gap / (utilizationPerRequest(donor) + utilizationPerRequest(taker))
        val best = ranges.filter { it.isMovable && it.owner == donor.id }
            .flatMap { range -> partsOf(range, rate).map { range to it } }
            .filter { (_, part) -> heat.rateOf(part) <= rate * MAX_OVERSHOOT }
            .minByOrNull { (_, part) -> abs(heat.rateOf(part) - rate) / rate + part.size.toDouble() / slots }
        return best?.let { (range, part) -> move(ranges, range, part, taker) } ?: ranges
    }

    /** The parts of [range] that could move, each with about [rate] requests per second; all of it if it has fewer. */
    private fun partsOf(range: PlannedRange, rate: Double): List<SlotRange> {
        val whole = heat.rateOf(range.slots)
        if (range.slots.size == 1 || whole <= rate) return listOf(range.slots)
        return listOf(lowerPart(range.slots, rate), upperPart(range.slots, rate))
    }

    private fun lowerPart(range: SlotRange, rate: Double) = SlotRange(range.first, splitPoint(range, rate))

    private fun upperPart(range: SlotRange, rate: Double) =
        SlotRange(splitPoint(range, heat.rateOf(range) - rate) + 1, range.last)

    /**
     * The last slot of the lower part of [range] if this part is to have about [rate] requests per second. Both parts
     * have at least one slot.
     */
    private fun splitPoint(range: SlotRange, rate: Double): Int {
        var low = range.first
        var high = range.last - 1
        while (low < high) {
            val middle = (low + high) / 2
            if (heat.rateOf(SlotRange(range.first, middle)) < rate) low = middle + 1 else high = middle
        }
        return low
    }

    /** Assigns [part], which lies at one end of [range], to [taker]. */
    private fun move(
        ranges: List<PlannedRange>,
        range: PlannedRange,
        part: SlotRange,
        taker: Upstream,
    ): List<PlannedRange> = ranges.flatMap { other ->
        if (other !== range) return@flatMap listOf(other)
        listOfNotNull(
            SlotRange(range.slots.first, part.first - 1).takeIf { it.size > 0 }?.let { range.copy(slots = it) },
            PlannedRange(part, taker.id, isMovable = false),
            SlotRange(part.last + 1, range.slots.last).takeIf { it.size > 0 }?.let { range.copy(slots = it) },
        )
    }

    /** The utilization of [upstream] by one request per second: its service time divided by its concurrency. */
    private fun utilizationPerRequest(upstream: Upstream): Double =
        heat.serviceTimeOf(upstream.id).toDouble(DurationUnit.SECONDS) / (upstream.concurrency ?: 1)

    /** The utilization of each usable upstream; 1 is its full capacity. */
    private inner class Utilization(ranges: List<PlannedRange>, private val usable: List<Upstream>) {
        private val byUpstream = usable.associateTo(LinkedHashMap()) { it.id to 0.0 }

        init {
            val byId = usable.associateBy { it.id }
            for (range in ranges) byId[range.owner]?.let { add(it, range.slots) }
        }

        operator fun get(upstream: Upstream): Double = byUpstream.getValue(upstream.id)

        fun add(upstream: Upstream, range: SlotRange) {
            byUpstream.merge(upstream.id, heat.rateOf(range) * utilizationPerRequest(upstream), Double::plus)
        }

        fun leastUtilized(): Upstream = usable.minBy(::get)

        fun mostUtilized(): Upstream = usable.maxBy(::get)
    }

    private companion object {
        /** How many ranges one plan may move to balance load, besides the moves to new owners that are necessary. */
        const val MAX_MOVES = 2

        /** An upstream with a lower utilization gives no range away. */
        const val MIN_DONOR_UTILIZATION = 0.65

        /**
         * The least difference in utilization for which a range moves. Requests for a moving range are delayed for a
         * short time, which a smaller difference does not justify.
         */
        const val MIN_UTILIZATION_GAP = 0.35

        /**
         * The highest request rate of a part that may move, relative to the rate that should move. A higher rate would
         * only shift the overload to the upstream that takes the part.
         */
        const val MAX_OVERSHOOT = 1.4
    }
}
