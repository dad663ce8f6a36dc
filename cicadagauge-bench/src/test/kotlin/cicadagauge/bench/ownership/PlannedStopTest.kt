package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.identity.PoolName
import cicadagauge.node.Event
import cicadagauge.outcome.Reason
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests, under virtual time, that a planned stop of an allocator's VM interrupts no service. */
class PlannedStopTest :
    FunSpec({
        for (uptime in listOf(2.seconds, 3.seconds, 10.seconds)) {
            test("an allocator's VM that stops as planned $uptime after the start of all VMs interrupts no service") {
                val shape = DeploymentShape.HOSHIZORA
                val fleet = VirtualFleet(FleetSettings(shape, vmCount = 2)).start()
                fleet.time.advanceBy(uptime)
                val pool = PoolName("catalogue")
                val allocator = fleet.vms.first().status().pools.first { it.pool == pool }.allocator
                val stopping = fleet.vms.first { it.id == allocator }
                val remaining = fleet.vms.first { it.id != allocator }
                val results = ArrayList<Reason?>()
                stopping.submit(Event.StopRequested)
                repeat(100) { number ->
                    val head =
                        FakeRequestHead("GET", "/catalogue/club-$number", shape.apiKeyOf("customer-1"), 1.seconds)
                    fleet.request(remaining, head) { result ->
                        results += (result as? RequestResult.Refused)?.refusal?.reason
                    }
                    fleet.time.advanceBy(50.milliseconds)
                }
                fleet.time.advanceBy(2.seconds)
                withClue(results.groupingBy { it }.eachCount()) {
                    results.count { it == null } shouldBe 100
                }
            }
        }
    })
