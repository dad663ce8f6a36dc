/*
 * The failure scenarios under which slot ownership must stay safe: which faults occur, and when they end.
 */
package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Event
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Injects faults into [fleet].
 *
 * @property affected upstreams under a fault or in a zone that was taken out, whose slots may have to move
 */
class FaultInjector(val fleet: VirtualFleet, val random: Random) {
    val affected = HashSet<UpstreamId>()

    /** Picks a random upstream of the pool under test and marks it as affected by a fault. */
    fun pickUpstream(): VirtualUpstream {
        val pool = pool()
        val id = pool.upstreams[random.nextInt(pool.upstreams.size)].id
        affected += id
        return fleet.upstreams.getValue(id)
    }

    /** The VM that is the allocator of the pool under test, by the newest term that a VM reports. */
    fun allocator(): VirtualVm {
        val newest = fleet.vms.flatMap { it.status().pools }.filter { it.pool == pool().name }.maxBy { it.term }
        return fleet.vms.first { it.id == newest.allocator }
    }

    /** The pool under test: the first keyed one. */
    fun pool() = fleet.declaration.pools.first { it.keyed }

    /** Schedules [task] to run after [delay] of virtual time. */
    fun after(delay: Duration, task: () -> Unit) = fleet.time.after(delay, task)
}

/**
 * One failure scenario.
 *
 * @property duration how long the fleet is observed from the first fault on
 * @property maxUnavailability the longest time that a key may go unserved, or null if users were promised no bound
 * @property network the conditions of the network throughout the run
 * @property mayMoveOthers whether slots of unaffected upstreams may move; no check reads it
 * @property injectFaults injects the faults
 */
class FailureScenario(
    val name: String,
    val duration: Duration,
    val maxUnavailability: Duration? = null,
    val network: NetworkConditions = NetworkConditions(),
    val mayMoveOthers: Boolean = false,
    val injectFaults: FaultInjector.() -> Unit,
)

/** All failure scenarios. */
object FailureScenarios {
    private val RECOVERY_LIMIT = 2.seconds
    private val LOSSY = NetworkConditions(
        lossProbability = 0.02,
        duplicationProbability = 0.02,
        extraDelayProbability = 0.02,
    )

    val all: List<FailureScenario> = listOf(
        FailureScenario("quiet", 30.seconds, maxUnavailability = 100.milliseconds) {},
        FailureScenario("rough-network", 30.seconds, network = LOSSY) {},
        FailureScenario("upstream-crashed", 20.seconds, maxUnavailability = RECOVERY_LIMIT) { pickUpstream().crash() },
        FailureScenario("upstream-restarted", 30.seconds, maxUnavailability = RECOVERY_LIMIT) {
            val upstream = pickUpstream()
            upstream.crash()
            after(300.milliseconds) { upstream.restart() }
        },
        FailureScenario("upstream-frozen-and-back", 40.seconds, maxUnavailability = RECOVERY_LIMIT) {
            val upstream = pickUpstream()
            upstream.freeze()
            after(5.seconds) { upstream.thaw() }
        },
        FailureScenario("upstream-cut-from-allocator", 30.seconds, maxUnavailability = RECOVERY_LIMIT) {
            val upstream = pickUpstream().endpoint
            val allocator = allocator().endpoint
            val partition = fleet.network.partition { one, other -> one == upstream && other == allocator }
            after(10.seconds) { partition.heal() }
        },
        FailureScenario("allocator-crashed", 20.seconds, maxUnavailability = 100.milliseconds) {
            fleet.crash(allocator())
        },
        FailureScenario("allocator-paused", 30.seconds, maxUnavailability = RECOVERY_LIMIT) {
            val allocator = allocator()
            allocator.pause()
            after(6.seconds) { allocator.resume() }
        },
        FailureScenario("allocator-cut-from-store", 30.seconds, maxUnavailability = 100.milliseconds) {
            val allocator = allocator().endpoint
            val partition = fleet.network.partition { one, other -> one == allocator && other == fleet.store.endpoint }
            after(10.seconds) { partition.heal() }
        },
        FailureScenario("store-out", 3.minutes, maxUnavailability = 100.milliseconds) {
            fleet.store.isDown = true
            after(2.minutes) { fleet.store.isDown = false }
        },
        FailureScenario("store-slow", 60.seconds, maxUnavailability = 100.milliseconds) {
            fleet.store.replyDelay = 300.milliseconds
            after(30.seconds) { fleet.store.replyDelay = Duration.ZERO }
        },
        FailureScenario("store-loses-answers", 30.seconds, maxUnavailability = RECOVERY_LIMIT) {
            fleet.store.losesWriteReplies = true
            pickUpstream().crash()
            after(15.seconds) { fleet.store.losesWriteReplies = false }
        },
        FailureScenario("store-out-and-upstream-crashed", 60.seconds, maxUnavailability = RECOVERY_LIMIT) {
            fleet.store.isDown = true
            after(5.seconds) { pickUpstream().crash() }
            after(30.seconds) { fleet.store.isDown = false }
        },
        FailureScenario("allocator-and-upstream-crashed", 30.seconds, maxUnavailability = RECOVERY_LIMIT) {
            fleet.crash(allocator())
            pickUpstream().crash()
        },
        FailureScenario("allocator-crashed-and-store-out", 60.seconds) {
            fleet.store.isDown = true
            fleet.crash(allocator())
            after(30.seconds) { fleet.store.isDown = false }
        },
        FailureScenario("two-upstreams-crashed", 20.seconds, maxUnavailability = RECOVERY_LIMIT) {
            pickUpstream().crash()
            pickUpstream().crash()
        },
        FailureScenario("fleet-split", 30.seconds) {
            val side = fleet.vms.take(fleet.vms.size / 2).map { it.endpoint }.toSet()
            val vms = fleet.vms.map { it.endpoint }.toSet()
            val partition = fleet.network.partition { one, other -> one in side && other in vms && other !in side }
            after(10.seconds) { partition.heal() }
        },
        FailureScenario("rolling-replacement", 60.seconds, maxUnavailability = 100.milliseconds) {
            fleet.vms.toList().forEachIndexed { index, vm -> after(4.seconds * index) { replace(vm) } }
        },
        FailureScenario("all-vms-lost", 40.seconds, mayMoveOthers = false) {
            fleet.vms.toList().forEach { fleet.crash(it) }
            after(2.seconds) {
                repeat(fleet.settings.vmCount) { fleet.addVm() }
                fleet.publishVmList()
            }
        },
        FailureScenario("allocator-stopped-while-store-out", 30.seconds, maxUnavailability = 100.milliseconds) {
            fleet.store.isDown = true
            after(3.seconds) { allocator().submit(Event.StopRequested) }
            after(6.seconds) { fleet.store.isDown = false }
        },
        FailureScenario("zone-out-and-back", 40.seconds, maxUnavailability = 100.milliseconds) {
            val zone = AvailabilityZone(fleet.settings.shape.zones.first())
            pool().upstreams.filter { it.zone == zone }.forEach { affected += it.id }
            fleet.applyDeclaration(fleet.declaration.copy(zonesOut = setOf(zone)), version = 2)
            after(15.seconds) { fleet.applyDeclaration(fleet.declaration, version = 3) }
        },
        FailureScenario("zone-lost", 40.seconds, maxUnavailability = RECOVERY_LIMIT) {
            val zone = fleet.settings.shape.zones.first()
            fleet.vms.filter { it.zone.value == zone }.forEach { fleet.crash(it) }
            pool().upstreams.filter { it.zone.value == zone }.forEach {
                affected += it.id
                fleet.upstreams.getValue(it.id).crash()
            }
        },
    )

    /** Replaces [vm] as planned maintenance does: it hands over its duties, stops, and a new VM starts. */
    private fun FaultInjector.replace(vm: VirtualVm) {
        vm.leaving = true
        vm.submit(Event.StopRequested)
        after(1.seconds) {
            fleet.crash(vm)
            fleet.addVm()
            fleet.publishVmList()
        }
    }
}
