package cicadagauge.dispatch

import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.node.DispatchSettings
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val seeds = 1..8
private val zones = listOf("a", "b", "c").map(::AvailabilityZone)

private fun request(number: Long, order: List<AvailabilityZone> = zones) = PendingRequest(
    id = RequestId(number),
    pool = Pool(PoolName("p"), emptyList(), keyed = false),
    requestClass = RequestClass.Normal,
    idempotent = true,
    customer = CustomerName("c"),
    slot = null,
    deadline = Moment.ZERO + 10.seconds,
    head = HeadDigest(1),
    zoneSelector = ZoneSelector(order),
)

/** News that the [waits] were told at the start. */
private fun newsOf(vararg waits: Pair<AvailabilityZone, Duration>) = ZoneNews(DispatchSettings()).apply {
    for ((zone, wait) in waits) refused(request(0, listOf(zone) + (zones - zone)), wait, Moment.ZERO)
}

/** The zone to which request [number] goes [age] after the news. */
private fun ZoneNews.zoneOf(number: Long, age: Duration): AvailabilityZone? =
    request(number).also { advise(it, Moment.ZERO + age) }.zoneSelector.zone

class ZoneNewsTest :
    FunSpec({
        for (load in listOf(0.8, 1.0, 1.15, 1.3)) {
            test("news of waits spares tries, and no more permits are idle while work waits, load $load") {
                val without = seeds.map { ZoneSimulation(load, it, newsMaxAge = Duration.ZERO).run(20.seconds) }
                val with = seeds.map { ZoneSimulation(load, it).run(20.seconds) }
                withClue("seeds $seeds, without news: $without; with news: $with") {
                    with.map { it.tries }.average() shouldBeLessThan without.map { it.tries }.average() + 0.001
                    with.map { it.served }.average() shouldBeGreaterThan without.map { it.served }.average() - 0.01
                    with.map { it.inTime }.average() shouldBeGreaterThan without.map { it.inTime }.average() - 0.01
                    with.map { it.idleWhileWaiting }.average() shouldBeLessThan
                        without.map { it.idleWhileWaiting }.average() + 0.001
                }
            }
        }

        test("a zone is skipped while its work lasts, and not once the news is old") {
            val news = newsOf(zones[0] to 300.milliseconds)
            news.zoneOf(1, age = 50.milliseconds) shouldBe zones[1]
            news.zoneOf(1, age = 135.milliseconds) shouldBe zones[0]
            newsOf(zones[0] to 5.seconds).zoneOf(1, age = 200.milliseconds) shouldBe zones[0]
        }

        test("where all zones are full, a request waits in its own zone unless another one is sooner") {
            val similar = newsOf(zones[0] to 310.milliseconds, zones[1] to 300.milliseconds, zones[2] to 1.seconds)
            (1L..50).map { similar.zoneOf(it, age = 10.milliseconds) }.toSet() shouldBe setOf(zones[0])
            val longer =
                newsOf(zones[0] to 900.milliseconds, zones[1] to 300.milliseconds, zones[2] to 350.milliseconds)
            val chosen = (1L..200).groupingBy { longer.zoneOf(it, age = 10.milliseconds) }.eachCount()
            chosen.keys shouldBe setOf(zones[1], zones[2])
            chosen.values.min() shouldBeGreaterThan 60
        }

        test("a request that finds the other zones full too may wait in one that it skipped") {
            val request = request(1)
            newsOf(zones[0] to 300.milliseconds).advise(request, Moment.ZERO + 10.milliseconds)
            val selector = request.zoneSelector
            selector.tryNext(400.milliseconds) shouldBe true
            selector.tryNext(500.milliseconds) shouldBe true
            selector.zone shouldBe zones[0]
            selector.maySpill shouldBe false
        }
    })
