package cicadagauge.bench.configuration

import cicadagauge.bench.virtual.VirtualVm
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private typealias Failure = (LargeFleet, VirtualVm) -> Unit

/** Tests, under virtual time, what a large fleet's knowledge of the store costs, and how old it gets in failures. */
class StoreNewsTest :
    FunSpec({
        fun running(vms: Int = VMS) = LargeFleet(vms).apply { pass(12.seconds) }

        test("what each VM asks of the store and says doesn't grow with the fleet") {
            val (few, many) = listOf(30, 100).map { vms ->
                val large = running(vms)
                large.forgetCosts()
                repeat(2) {
                    large.change()
                    large.pass(5.seconds)
                }
                val cost = large.cost(10.seconds)
                println("$vms VMs: $cost, calls ${large.calls}, bytes ${large.bytes}")
                cost
            }
            many.calls shouldBeLessThan TARGET_CALLS
            many.calls shouldBeLessThan few.calls * 1.1
            many.bytes shouldBeLessThan few.bytes * 1.3
            many.bytesBetweenZones shouldBeLessThan few.bytesBetweenZones * 1.1
        }

        test("every VM of a small fleet reads the store itself") {
            running(vms = 12).readers().values.sumOf { it.size } shouldBe 12
        }

        test("two VMs of each zone of a large fleet read the store") {
            running().readers().values.map { it.size } shouldBe listOf(2, 2, 2)
        }

        /** The readers that fail, by zone: the first or both of one zone, or all of them. */
        val victims = mapOf<String, (Collection<List<VirtualVm>>) -> List<VirtualVm>>(
            "a reader" to { it.first().take(1) },
            "both readers of a zone" to { it.first() },
            "all readers" to { it.flatten() },
        )
        val failures = mapOf<String, Failure>(
            "stop" to { large, vm -> large.fleet.crash(vm) },
            "are paused" to { _, vm -> vm.pause() },
            "are refused by the store" to { large, vm -> large.fleet.store.refused += vm.endpoint },
            "get no answer from the store" to { large, vm ->
                large.fleet.network.partition { one, other -> one == vm.endpoint && other == large.storeEndpoint }
            },
            "are cut off from the other VMs" to { large, vm ->
                large.fleet.network.partition { one, other -> one == vm.endpoint && other != large.storeEndpoint }
            },
        )

        fun checkBound(select: (Collection<List<VirtualVm>>) -> List<VirtualVm>, failure: Failure, before: Duration) {
            val large = running()
            val failed = select(large.readers().values)
            failed.forEach { failure(large, it) }
            large.pass(before)
            large.change()
            large.pass(4.seconds)
            val running = large.fleet.vms.filterNot { it.paused }
            withClue("failed: ${failed.map { it.id }}; unaware: ${large.unaware(running)}") {
                large.learningMillis(running).shouldNotBeNull() shouldBeLessThanOrEqual BOUND_MILLIS
            }
        }

        for ((who, select) in victims) {
            for ((what, failure) in failures) {
                test("every VM learns of a change in time where $who $what just before it") {
                    checkBound(select, failure, before = 150.milliseconds)
                }
            }
        }

        for ((who, select) in victims) {
            test(
                "every VM learns of a change in time where the store has refused $who for so long that it is unlisted",
            ) {
                checkBound(select, failures.getValue("are refused by the store"), before = 3.seconds)
            }
        }

        test("all VMs list a new one, and know a change, in time after all watches are lost") {
            val large = running()
            large.fleet.store.model.dropWatches()
            val added = large.fleet.addVm()
            large.change()
            large.pass(2.seconds)
            withClue("unaware: ${large.unaware()}") { large.learningMillis().shouldNotBeNull() }
            large.fleet.vms.filter { added.id !in it.status().vms }.map { it.id } shouldBe emptyList()
        }

        test("the duties of a VM that stops are taken over as soon as its lease has lapsed") {
            val large = running()
            val stopped = large.allocators.values.first()
            val pools = large.allocators.filterValues { it == stopped }.keys
            large.fleet.crash(stopped)
            large.pass(2.seconds)
            pools.filter { large.allocators[it] == stopped } shouldBe emptyList()
        }
    }) {
    private companion object {
        /** Two readers in each of three zones. */
        const val VMS = 42

        /** The shortest bound of the users' deployments is 2 s. */
        const val BOUND_MILLIS = 1_500L

        /** Calls to the store per second and VM. */
        const val TARGET_CALLS = 0.5
    }
}
