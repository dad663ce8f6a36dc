package cicadagauge.bench.budget

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.outcome.Reason
import cicadagauge.standins.KnownFailure
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests, under virtual time, that a slow answer of a customer's coordinator is not taken for a used-up rate. */
class SlowCoordinatorTest :
    FunSpec({
        val knownFailures = KnownFailure.read()

        for (delayMillis in listOf(5, 20, 40)) {
            val name = "a customer far below its rate is not refused for it: messages between VMs take $delayMillis ms"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                val shape = DeploymentShape.HOSHIZORA
                val network = NetworkConditions(crossZoneDelay = delayMillis.milliseconds)
                val fleet = VirtualFleet(FleetSettings(shape, vmCount = 3, network = network)).start()
                val refusals = ArrayList<Reason>()
                fleet.time.advanceBy(10.seconds)
                repeat(100) { number ->
                    val head = FakeRequestHead("GET", "/arbiter/hall-$number", shape.apiKeyOf("customer-1"), 1.seconds)
                    fleet.request(fleet.vms[number % fleet.vms.size], head) { result ->
                        if (result is RequestResult.Refused) refusals += result.refusal.reason
                    }
                    fleet.time.advanceBy(20.milliseconds)
                }
                withClue(refusals.groupingBy { it }.eachCount()) {
                    refusals.count { it == Reason.RateExceeded } shouldBe 0
                }
            }
        }
    })
