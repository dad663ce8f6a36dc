package cicadagauge.dispatch

import cicadagauge.declaration.ColdStart
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PermitResult
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun load(poolDurations: DurationAverage = DurationAverage()): UpstreamLoad {
    val upstream = Upstream(UpstreamId("u"), Address("u", 1), AvailabilityZone("a"), concurrency = 3)
    return UpstreamLoad(upstream, maxConcurrency = 3, DispatchSettings(), poolDurations)
}

class UpstreamLoadTest :
    FunSpec({
        val start = Moment.ZERO + 1.seconds

        test("an upstream that is not cold runs as many requests as declared from the start") {
            load().currentLimit shouldBe 3
        }

        test("a cold upstream starts with one request at a time") {
            val load = load()
            load.reconfigure(newMaxConcurrency = 3, ColdStart(ratePerSecond = 11.0), start + 3.seconds, start)
            load.currentLimit shouldBe 1
        }

        test("the durations at the pool's other upstreams are used before the first answer") {
            val poolDurations = DurationAverage().apply { record(90.milliseconds) }
            load(poolDurations).averageDuration(start) shouldBe 90.milliseconds
        }

        test("without any answer, a request is expected to take at least as long as the oldest has been running") {
            val load = load()
            load.takePermit(start)
            load.averageDuration(start + 120.milliseconds) shouldBe 120.milliseconds
            load.returnPermit(PermitResult.Served, 130.milliseconds, slowness = null, start + 130.milliseconds)
            load.averageDuration(start + 1.seconds) shouldBe 130.milliseconds
        }

        test("slowness that the average duration already contains is not counted twice") {
            val load = load()
            repeat(100) { load.returnPermit(PermitResult.Served, 60.milliseconds, slowness = 3.0, start) }
            load.expectedRate(start) shouldBe (load.averageRate(start) plusOrMinus 0.1)
        }
    })
