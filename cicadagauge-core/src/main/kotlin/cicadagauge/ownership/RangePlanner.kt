/*
 * Decides which upstream should own which slots of a pool that is placed by ranges. As few ranges as possible move: an
 * owner that is still usable keeps its ranges, those of other owners go to the least utilized upstreams, an upstream
 * that owns nothing takes a part of the busiest range, and a part of a range moves for the sake of load where that
 * saves callers more waiting than it costs them. See docs/design/even-load.md.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Upstream
import cicadagauge.identity.UpstreamId
import cicadagauge.node.BalanceSettings
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A range in a plan.
 *
 * @property owner null if the range needs a new owner
 * @property isMovable whether the range, or a part of it, may be moved to another owner by choice
 */
internal data class PlannedRange(val slots: SlotRange, val owner: UpstreamId?, val isMovable: Boolean = true)

/** Plans the ranges of one pool of [slots] slots by their request rates, [heat]. */
internal class RangePlanner(
    private val slots: Int,
    private val heat: RangeHeat,
    private val settings: BalanceSettings = BalanceSettings(),
) {
    /** The waiting that the last plan's moves for the sake of load are expected to save all callers together. */
    var expectedSaving: Duration = Duration.ZERO
        private set

    /** The ranges that the [usable] upstreams should own. The [current] ranges must cover all slots, or be empty. */
    fun plan(current: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        expectedSaving = Duration.ZERO
        if (usable.isEmpty()) return current
        if (current.isEmpty()) return splitEvenly(usable.map { it.id })
        return balance(addOwners(assignOrphans(current, usable), usable), usable)
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

    /** Gives each upstream that owns nothing half of the requests of the range with the highest request rate. */
    private fun addOwners(ranges: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        val owners = ranges.mapNotNull { it.owner }.toSet()
        return usable.filter { it.id !in owners }.fold(ranges) { all, newOwner ->
            val hottest = all.filter { it.isMovable && it.slots.size > 1 }.maxByOrNull { heat.rateOf(it.slots) }
            hottest?.let { move(all, it, densestPart(it.slots, heat.rateOf(it.slots) / 2), newOwner) } ?: all
        }
    }

    /** Makes the moves that save callers the most, one after the other, while each saves more than it costs. */
    private fun balance(ranges: List<PlannedRange>, usable: List<Upstream>): List<PlannedRange> {
        var planned = ranges
        repeat(maxOf(MIN_MOVES, usable.size / settings.upstreamsPerMove)) {
            val best = bestMove(planned, usable) ?: return planned
            expectedSaving += best.saving
            planned = move(planned, best.range, best.part, best.taker)
        }
        return planned
    }

    /** The move that saves the most, from one of the most utilized upstreams to one of the least utilized. */
    private fun bestMove(ranges: List<PlannedRange>, usable: List<Upstream>): Move? {
        val utilization = Utilization(ranges, usable)
        val movable = ranges.filter { it.isMovable }.groupBy { it.owner }
        val donors = usable.filter { it.id in movable }.sortedByDescending(utilization::waiting).take(CHOICES)
        val takers = usable.sortedBy(utilization::get).take(CHOICES)
        return donors.flatMap { donor ->
            val hottest = movable.getValue(donor.id).sortedByDescending { heat.rateOf(it.slots) }.take(CHOICES)
            takers.filter { it.id != donor.id && utilization[it] < utilization[donor] }.flatMap { taker ->
                val evenRate = utilization.evenRate(donor, taker)
                hottest.flatMap { range -> partsOf(range, evenRate).map { range to it } }
                    .map { (range, part) -> Move(range, part, taker, utilization.savingOf(donor, taker, part)) }
            }
        }.filter { it.saving > Duration.ZERO }.maxByOrNull { it.saving }
    }

    /** The parts of [range] that could move, with up to about [evenRate] requests per second. */
    private fun partsOf(range: PlannedRange, evenRate: Double): List<SlotRange> {
        val whole = heat.rateOf(range.slots)
        return RATE_FRACTIONS.map { evenRate * it }.flatMap { rate ->
            when {
                whole <= rate || range.slots.size == 1 -> listOf(range.slots)
                else -> listOf(
                    lowerPart(range.slots, rate),
                    upperPart(range.slots, rate),
                    densestPart(range.slots, rate),
                )
            }
        }.distinct()
    }

    private fun densestPart(range: SlotRange, rate: Double): SlotRange =
        heat.densestPart(range, rate)?.takeIf { it.size < range.size } ?: upperPart(range, rate)

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

    /** Assigns [part] of [range] to [taker]. */
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
        heat.serviceTimeOf(upstream.id).toDouble(DurationUnit.SECONDS) / concurrencyOf(upstream)

    private fun concurrencyOf(upstream: Upstream) = upstream.concurrency ?: 1

    /** Gives [part] of [range] to [taker], which is expected to save all callers together [saving] of waiting. */
    private class Move(val range: PlannedRange, val part: SlotRange, val taker: Upstream, val saving: Duration)

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

        /** The expected number of requests that wait for [upstream]. */
        fun waiting(upstream: Upstream): Double = expectedWaiting(this[upstream], concurrencyOf(upstream))

        /** The request rate whose move makes both equally utilized. */
        fun evenRate(donor: Upstream, taker: Upstream): Double =
            (this[donor] - this[taker]) / (utilizationPerRequest(donor) + utilizationPerRequest(taker))

        /**
         * The waiting that all callers together save while the load lasts if [part] moves from [donor] to [taker], less
         * that which the move costs. The rates are uncertain, so the donor's counts as lower than estimated and the
         * taker's as higher.
         */
        fun savingOf(donor: Upstream, taker: Upstream, part: SlotRange): Duration {
            val rate = heat.rateOf(part)
            val low = maxOf(0.0, this[donor] - uncertainty(donor))
            val high = this[taker] + uncertainty(taker)
            val fewer = waitingBetween(donor, low - rate * utilizationPerRequest(donor), low)
            val more = waitingBetween(taker, high, high + rate * utilizationPerRequest(taker))
            val cost = settings.movedRequestDelay * rate + settings.wholeMoveCost * (part.size.toDouble() / slots)
            return settings.loadDuration * (fewer - more) - cost
        }

        private fun uncertainty(upstream: Upstream): Double {
            val perRequest = utilizationPerRequest(upstream)
            return heat.uncertaintyOf(this[upstream] / perRequest) * perRequest
        }

        private fun waitingBetween(upstream: Upstream, from: Double, to: Double): Double {
            val concurrency = concurrencyOf(upstream)
            return expectedWaiting(to, concurrency) - expectedWaiting(maxOf(0.0, from), concurrency)
        }
    }

    private companion object {
        /** How many moves for the sake of load one plan may make in a small pool. */
        const val MIN_MOVES = 2

        /** How many donors, takers and ranges of a donor are compared for a move. */
        const val CHOICES = 3

        /** The rates of the parts compared for a move, relative to the one that makes both equally utilized. */
        val RATE_FRACTIONS = listOf(1.0, 0.5, 0.25)
    }
}
