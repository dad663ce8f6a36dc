package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.node.Effect
import cicadagauge.node.RequestHead
import cicadagauge.outcome.Reason
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** [head] with a deadline of 600 ms, read by a process that was suspended for [readLag] before. */
private class LateHead(private val head: RequestHead, override val readLag: Duration) : RequestHead by head {
    override val deadline: Duration = 600.milliseconds
}

class LateReadTest :
    FunSpec({
        fun resultOf(readLag: Duration): Pair<RequestResult?, Int> {
            var begun = 0
            val observer = object : FleetObserver {
                override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
                    begun++
                }
            }
            val shape = DeploymentShape.HOSHIZORA
            val fleet = VirtualFleet(FleetSettings(shape, vmCount = 3, coldTime = Duration.ZERO), observer).start()
            fleet.time.advanceBy(10.seconds)
            val traffic = shape.traffic.first()
            val path = traffic.path.replace(Regex("\\{[a-z]+}"), "club-7")
            val head = FakeRequestHead(traffic.method, path, shape.apiKeyOf("customer-1"))
            var result: RequestResult? = null
            fleet.request(fleet.vms.first(), LateHead(head, readLag)) { result = it }
            fleet.time.advanceBy(2.seconds)
            return result to begun
        }

        test("a request that was read in time runs") {
            resultOf(readLag = 100.milliseconds) shouldBe (RequestResult.Answered to 1)
        }

        test("a request whose deadline passed before it was read does not run") {
            val (result, begun) = resultOf(readLag = 650.milliseconds)
            begun shouldBe 0
            (result as RequestResult.Refused).refusal.reason shouldBe Reason.DeadlineBeforeRun
        }
    })
