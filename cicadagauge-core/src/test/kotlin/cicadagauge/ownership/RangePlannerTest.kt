package cicadagauge.ownership

import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val SLOTS = 65_536

private fun upstream(number: Int) =
    Upstream(UpstreamId("u$number"), Address("u$number", 1), AvailabilityZone("a"), concurrency = 2)

/** Heat for which twice the given number of requests was counted in the bucket of each slot. */
private fun heatOf(loadBySlot: Map<Int, Int>): RangeHeat = RangeHeat(SLOTS, Moment.ZERO).apply {
    val buckets = loadBySlot.map { (slot, load) -> HeatBucket(slot / HeatBucket.SLOTS, load * 2) }
    add(buckets, (0..20).map { UpstreamTime(UpstreamId("u$it"), 60.milliseconds) }, Moment.ZERO)
}

private fun covers(ranges: List<PlannedRange>): Boolean {
    val next = ranges.fold(0) { first, range -> if (range.slots.first == first) range.slots.last + 1 else -1 }
    return next == SLOTS && ranges.all { it.slots.size > 0 }
}

/**
 * The highest utilization of an upstream under the request rates of [heat], at 60 ms per request and a concurrency of
 * 2; 1 is the full capacity.
 */
private fun highestUtilization(ranges: List<PlannedRange>, heat: RangeHeat): Double =
    ranges.groupBy { it.owner }.values.maxOf { own -> own.sumOf { heat.rateOf(it.slots) } * 0.060 / 2 }

class RangePlannerTest :
    FunSpec({
        val upstreams = (0 until 15).map(::upstream)

        test("the first plan gives every upstream an equal part") {
            val ranges = RangePlanner(SLOTS, heatOf(emptyMap())).plan(emptyList(), upstreams)
            covers(ranges) shouldBe true
            ranges.map { it.owner }.toSet().size shouldBe 15
            ranges.maxOf { it.slots.size } - ranges.minOf { it.slots.size } shouldBeLessThan 2
        }

        test("a balanced plan is not changed") {
            val planner = RangePlanner(SLOTS, heatOf((0 until SLOTS step 64).associateWith { 0 }))
            val ranges = planner.plan(emptyList(), upstreams)
            planner.plan(ranges, upstreams) shouldBe ranges
        }

        test("hot slots inside one range are split until no upstream is overloaded") {
            val heat = heatOf((20_000 until 20_200 step 8).associateWith { 3 })
            val planner = RangePlanner(SLOTS, heat)
            var ranges = planner.plan(emptyList(), upstreams)
            val before = highestUtilization(ranges, heat)
            repeat(5) { ranges = planner.plan(ranges.map { it.copy(isMovable = true) }, upstreams) }
            covers(ranges) shouldBe true
            withClue("the highest utilization was $before before") {
                highestUtilization(ranges, heat) shouldBeLessThan 0.9
            }
        }

        test("the range of a removed upstream goes to another one, and no other range moves") {
            val planner = RangePlanner(SLOTS, heatOf(emptyMap()))
            val ranges = planner.plan(emptyList(), upstreams)
            val without = ranges.map { if (it.owner == UpstreamId("u3")) it.copy(owner = null) else it }
            val next = planner.plan(without, upstreams.filter { it.id != UpstreamId("u3") })
            covers(next) shouldBe true
            next.filter { range -> ranges.none { it.slots == range.slots && it.owner == range.owner } }.size shouldBe 1
        }

        test("an added upstream gets a part of a range") {
            val planner = RangePlanner(SLOTS, heatOf(emptyMap()))
            val ranges = planner.plan(emptyList(), upstreams.take(14))
            val next = planner.plan(ranges, upstreams)
            covers(next) shouldBe true
            next.count { it.owner == UpstreamId("u14") } shouldBe 1
        }

        test("an upstream that has reported no service time counts as one of average speed") {
            val heat = RangeHeat(SLOTS, Moment.ZERO)
            val times = listOf(100, 300).mapIndexed { n, ms -> UpstreamTime(UpstreamId("u$n"), ms.milliseconds) }
            heat.add(emptyList(), times, Moment.ZERO)
            heat.serviceTimeOf(UpstreamId("u2")) shouldBe 200.milliseconds
        }

        test("a moment in which an upstream is slow counts little") {
            val heat = RangeHeat(SLOTS, Moment.ZERO)
            val id = UpstreamId("u0")
            heat.add(emptyList(), listOf(UpstreamTime(id, 100.milliseconds)), Moment.ZERO)
            heat.add(emptyList(), listOf(UpstreamTime(id, 300.milliseconds)), Moment.ZERO + 500.milliseconds)
            (heat.serviceTimeOf(id) < 140.milliseconds) shouldBe true
        }

        test("only the hot stretch of a range moves, and its cold keys stay") {
            val heat = heatOf((20_000 until 20_200 step 8).associateWith { 3 })
            val planner = RangePlanner(SLOTS, heat)
            val ranges = planner.plan(emptyList(), upstreams)
            val next = planner.plan(ranges, upstreams)
            val moved = next.filter { part ->
                ranges.none { it.owner == part.owner && part.slots.first in it.slots.first..it.slots.last }
            }
            covers(next) shouldBe true
            moved.sumOf { it.slots.size } shouldBeLessThan 200
            (planner.expectedSaving > Duration.ZERO) shouldBe true
        }

        for (seed in 1..20) {
            test("every slot has one usable owner while upstreams are added and removed at random, seed $seed") {
                val random = Random(seed)
                var ranges = emptyList<PlannedRange>()
                repeat(40) {
                    val usable = upstreams.filter { random.nextInt(10) < 7 }.ifEmpty { upstreams.take(1) }
                    val heat = heatOf((0..30).associate { random.nextInt(SLOTS) to random.nextInt(40) })
                    val current = ranges.map { range ->
                        val owner = range.owner.takeIf { owner -> usable.any { it.id == owner } }
                        range.copy(owner = owner, isMovable = random.nextInt(4) > 0)
                    }
                    ranges = RangePlanner(SLOTS, heat).plan(current, usable)
                    covers(ranges) shouldBe true
                    ranges.all { range -> usable.any { it.id == range.owner } } shouldBe true
                }
            }
        }
    })
