package cicadagauge.bench.budget

import cicadagauge.bench.outcomes.RateLimitRun
import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Event
import cicadagauge.node.NodeSettings
import cicadagauge.node.SelfRegisteredNode
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fleet of which one customer sends requests, and what became of them. */
private class CallerFixture(
    vmCount: Int,
    network: NetworkConditions = NetworkConditions(),
    rate: Double = 900.0,
    seed: Long = 1,
    nodeSettings: (VmId, AvailabilityZone) -> NodeSettings = ::NodeSettings,
) {
    private val shape = DeploymentShape.HOSHIZORA.copy(entryVms = vmCount, customerRates = listOf(rate))
    val fleet = VirtualFleet(
        FleetSettings(shape, vmCount = vmCount, seed = seed, network = network, nodeSettings = nodeSettings),
    ).start()
    val refusals = ArrayList<String>()
    var answered = 0

    /** The longest time until a refusal, in nanoseconds of virtual time. */
    var slowestRefusalNanos = 0L

    fun awaitReady() {
        while (fleet.vms.any { !it.isReady() }) fleet.time.advanceBy(10.milliseconds)
    }

    fun send(vm: VirtualVm, deadline: Duration = 1.seconds) {
        val sentAt = fleet.time.now
        val head = FakeRequestHead("GET", "/catalogue/club", shape.apiKeyOf("customer-1"), deadline)
        fleet.request(vm, head) { result ->
            if (result is RequestResult.Refused) {
                refusals += "${result.refusal.reason}: ${result.refusal.detail}"
                slowestRefusalNanos = maxOf(slowestRefusalNanos, fleet.time.now - sentAt)
            } else {
                answered++
            }
        }
    }

    fun expectAllAnswered(count: Int) {
        fleet.time.advanceBy(2.seconds)
        withClue(refusals.groupingBy { it }.eachCount()) { answered shouldBe count }
    }
}

/** Tests, under virtual time, requests far below the customer's rate while coordinators start, stop and stall. */
class LateCoordinatorTest :
    FunSpec({
        for (stalled in 0..2) {
            test("the first request of a customer is answered though VM $stalled of 3 stands still for 200 ms") {
                val caller = CallerFixture(vmCount = 3)
                caller.awaitReady()
                caller.fleet.time.advanceBy(2.seconds)
                val vm = caller.fleet.vms[stalled]
                vm.pause()
                caller.fleet.vms.filter { it != vm }.forEach { caller.send(it) }
                caller.fleet.time.advanceBy(200.milliseconds)
                vm.resume()
                caller.expectAllAnswered(2)
            }
        }

        for (target in 0..1) {
            test("the first request of a customer is answered as soon as the fleet is ready: VM $target of 2") {
                val caller = CallerFixture(vmCount = 2)
                caller.awaitReady()
                caller.send(caller.fleet.vms[target])
                caller.expectAllAnswered(1)
            }
        }

        for (stopping in 0..1) {
            test("a planned stop of VM $stopping of 2 refuses no request for the customer's rate") {
                val caller = CallerFixture(vmCount = 2)
                caller.awaitReady()
                caller.fleet.time.advanceBy(2.seconds)
                repeat(120) { number ->
                    if (number == 40) caller.fleet.vms[stopping].submit(Event.StopRequested)
                    caller.send(caller.fleet.vms[number % 2])
                    caller.fleet.time.advanceBy(25.milliseconds)
                }
                caller.expectAllAnswered(120)
            }
        }

        for (delayMillis in listOf(1, 20, 40, 90)) {
            test("a customer far below its rate is served in full: $delayMillis ms between self-registered VMs") {
                val network = NetworkConditions(crossZoneDelay = delayMillis.milliseconds)
                val caller = CallerFixture(vmCount = 3, network) { vm, zone ->
                    val address = Address(vm.value, 1)
                    val registered = Vm(vm, address, address, zone)
                    val settings = SelfRegisteredNode.settings(
                        registered,
                        DispatchSettings(retryRatio = 0.1, retryBurst = 10),
                    )
                    NodeSettings(vm, zone, budgets = settings.budgets)
                }
                caller.fleet.time.advanceBy(10.seconds)
                repeat(100) { number ->
                    caller.send(caller.fleet.vms[number % 3], deadline = 2.seconds)
                    caller.fleet.time.advanceBy(20.milliseconds)
                }
                caller.expectAllAnswered(100)
            }
        }

        test("a coordinator whose answers outlast its loans takes no part in a customer's rate: 150 ms between VMs") {
            val network = NetworkConditions(crossZoneDelay = 150.milliseconds)
            val run = RateLimitRun(load = 0.1, seed = 1, faults = false, network = network, settleTime = 20.seconds)
            val figures = run.run()
            withClue(figures) { figures.refused shouldBe 0 }
        }

        for (victim in 0..2) {
            test("a crash of VM $victim of 3 refuses no request of a customer far below its rate") {
                val caller = CallerFixture(vmCount = 3)
                caller.fleet.time.advanceBy(10.seconds)
                caller.fleet.crash(caller.fleet.vms[victim])
                repeat(100) { number ->
                    caller.send(caller.fleet.vms[number % 2], deadline = 2.seconds)
                    caller.fleet.time.advanceBy(20.milliseconds)
                }
                caller.expectAllAnswered(100)
            }
        }

        for (seed in 1L..4L) {
            test("a request beyond the customer's rate is refused within two round trips: seed $seed") {
                val network = NetworkConditions(crossZoneDelay = 20.milliseconds)
                val caller = CallerFixture(vmCount = 3, network, rate = 100.0, seed = seed)
                caller.fleet.time.advanceBy(10.seconds)
                repeat(2_500) { number ->
                    caller.send(caller.fleet.vms[number % 3])
                    caller.fleet.time.advanceBy(2.milliseconds)
                }
                caller.refusals.isNotEmpty() shouldBe true
                caller.slowestRefusalNanos shouldBeLessThanOrEqual 120.milliseconds.inWholeNanoseconds
                caller.refusals.toSet() shouldBe setOf("RateExceeded: the customer's rate is used up")
            }
        }
    })
