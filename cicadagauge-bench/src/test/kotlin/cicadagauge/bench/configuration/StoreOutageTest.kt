package cicadagauge.bench.configuration

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.declaration.Declaration
import cicadagauge.identity.RouteName
import cicadagauge.identity.VmId
import cicadagauge.node.StateChange
import cicadagauge.outcome.Reason
import cicadagauge.standins.KnownFailure
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests, under virtual time, that changes of the declaration are in force in time after an outage of the store. */
class StoreOutageTest :
    FunSpec({
        val knownFailures = KnownFailure.read()

        /** [base] with a copy of its first route at `/added`. */
        fun withAddedRoute(base: Declaration): Declaration {
            val route = base.routes.first()
            return base.copy(routes = base.routes + route.copy(name = RouteName("added"), path = "/added/{key}"))
        }

        /** Adds a route after [disturb], and returns the VMs that don't know the route [applyTime] later. */
        fun vmsWithoutRoute(applyTime: Duration, disturb: (VirtualFleet) -> Unit): List<String> {
            val fleet = VirtualFleet(FleetSettings(SHAPE)).start()
            fleet.time.advanceBy(10.seconds)
            disturb(fleet)
            fleet.applyDeclaration(withAddedRoute(fleet.declaration), version = 3)
            fleet.time.advanceBy(applyTime)
            val unaware = ArrayList<String>()
            for (vm in fleet.vms) {
                val head = FakeRequestHead("GET", "/added/club-7", SHAPE.apiKeyOf("customer-1"), 1.seconds)
                fleet.request(vm, head) { result ->
                    val reason = (result as? RequestResult.Refused)?.refusal?.reason
                    if (reason == Reason.NoRoute) unaware += vm.id.value
                }
            }
            fleet.time.advanceBy(1.seconds)
            return unaware
        }

        for (lead in listOf(200.microseconds, 1.milliseconds, 2.milliseconds, 1.seconds)) {
            val name = "a route added after a store outage is known in time: it began $lead after a change"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                val unaware = vmsWithoutRoute(APPLY_TIME) { fleet ->
                    fleet.applyDeclaration(fleet.declaration.copy(entryVms = SHAPE.entryVms), version = 2)
                    fleet.time.advanceBy(lead)
                    fleet.store.isDown = true
                    fleet.time.advanceBy(5.seconds)
                    fleet.store.isDown = false
                }
                withClue("VMs that answer 404") { unaware shouldBe emptyList() }
            }
        }

        test("a route added after the store has lost all watches, and no other call, is known in time") {
            val unaware = vmsWithoutRoute(MAX_APPLY_TIME) { fleet ->
                fleet.time.advanceBy(2.seconds)
                fleet.store.model.dropWatches()
            }
            withClue("VMs that answer 404") { unaware shouldBe emptyList() }
        }
        for (seed in 1L..(System.getProperty(SEEDS_PROPERTY)?.toLong() ?: SEEDS_IN_CI)) {
            test("every change is in force in time through outages that begin and end at random moments: seed $seed") {
                val versions = HashMap<VmId, Long>()
                val observer = object : FleetObserver {
                    override fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) {
                        if (change is StateChange.DeclarationInForce) versions[vm.id] = change.version.value
                    }
                }
                val random = Random(seed)
                val fleet = VirtualFleet(FleetSettings(SHAPE, seed = seed), observer).start()
                fleet.time.advanceBy(5.seconds)
                for (round in 1..5) {
                    fleet.applyDeclaration(fleet.declaration, version = round * 10L)
                    fleet.time.advanceBy(random.nextInt(3_000).microseconds)
                    fleet.store.isDown = true
                    if (random.nextBoolean()) fleet.store.model.dropWatches()
                    fleet.time.advanceBy(random.nextInt(if (random.nextBoolean()) 100 else 6_000).milliseconds)
                    fleet.store.isDown = false
                    fleet.time.advanceBy(random.nextInt(1_000).milliseconds)
                    fleet.applyDeclaration(fleet.declaration, version = round * 10L + 1)
                    fleet.time.advanceBy(MAX_APPLY_TIME)
                    withClue("round $round: versions in force") {
                        fleet.vms.associate { it.id to versions[it.id] }.filterValues { it != round * 10L + 1 } shouldBe
                            emptyMap()
                    }
                }
            }
        }
    }) {
    private companion object {
        /** System property with the number of seeds to run. */
        const val SEEDS_PROPERTY = "cicadagauge.outage.seeds"
        const val SEEDS_IN_CI = 4L

        val SHAPE = DeploymentShape.HOSHIZORA

        /** The time within which an accepted declaration is to be in force on all VMs once the store has returned. */
        val APPLY_TIME = 2.seconds

        /** The same where nothing shows that the store has failed. */
        val MAX_APPLY_TIME = 4.seconds
    }
}
