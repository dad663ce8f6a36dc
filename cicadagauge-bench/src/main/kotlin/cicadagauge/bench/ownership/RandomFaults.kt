package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.Endpoint
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualNetwork
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.AvailabilityZone
import cicadagauge.standins.deployment.DeploymentShape
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The result of a run with random faults.
 *
 * @property maxOwners the largest number of upstreams that owned the same slot at the same time
 * @property unowned slots without an owner after all faults had ended
 * @property answered requests answered
 * @property faults the number of injected faults by kind
 */
data class FaultsRun(
    val seed: Long,
    val maxOwners: Int,
    val unowned: Int,
    val answered: Long,
    val faults: Map<String, Int>,
)

/**
 * Injects random, overlapping faults into a fleet for [length], over a network that loses, duplicates, delays and
 * reorders messages. Then ends all faults and counts the slots that still have no owner.
 */
class RandomFaults(private val shape: DeploymentShape, private val seed: Long, private val length: Duration) {
    private val random = Random(seed)
    private val audit = OwnershipAudit()
    private val network = NetworkConditions(
        lossProbability = 0.01,
        duplicationProbability = 0.02,
        extraDelayProbability = 0.02,
        maxExtraDelay = 2.seconds,
    )
    private val fleet = VirtualFleet(
        FleetSettings(shape.copy(customerRates = listOf(AMPLE_RATE_PER_SECOND)), seed = seed, network = network),
        audit,
    )
    private val faultCounts = sortedMapOf<String, Int>()
    private var version = 1L

    /** Runs the fault schedule that follows from the seed. */
    fun run(): FaultsRun {
        fleet.start()
        val prober = Prober(fleet, shape.traffic.first().path.removeSuffix("/{key}"), KEY_COUNT)
        fleet.time.advanceBy(SETTLE_TIME)
        prober.start()
        val end = fleet.time.now + length.inWholeNanoseconds
        while (fleet.time.now < end) {
            fleet.time.advanceBy(random.nextInt(MAX_FAULT_INTERVAL_MILLIS).milliseconds)
            injectFault()
        }
        endAllFaults()
        fleet.time.advanceBy(RECOVERY_TIME)
        val unowned = fleet.declaration.pools.filter { it.keyed }.sumOf { pool ->
            audit.owners(fleet, pool).count {
                it ==
                    null
            }
        }
        return FaultsRun(seed, audit.maxOwners, unowned, prober.answered, faultCounts)
    }

    private fun injectFault() {
        val duration = random.nextInt(MAX_FAULT_DURATION_MILLIS).milliseconds
        val upstream = fleet.upstreams.values.elementAt(random.nextInt(fleet.upstreams.size))
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val store = fleet.store
        when (FaultKind.entries[random.nextInt(FaultKind.entries.size)]) {
            FaultKind.UpstreamRestarted -> inject("upstream crashed and restarted", duration, {
                upstream.crash()
            }) { upstream.restart() }
            FaultKind.UpstreamFrozen -> inject("upstream frozen", duration, { upstream.freeze() }) { upstream.thaw() }
            FaultKind.VmPaused -> inject("VM paused", duration, { vm.pause() }) { if (!vm.crashed) vm.resume() }
            FaultKind.VmReplaced -> inject("VM replaced", Duration.ZERO, { replaceVm(vm) }) {}
            FaultKind.UpstreamCut -> partition("upstream cut from a VM", duration) { one, other ->
                one == upstream.endpoint && other == vm.endpoint
            }
            FaultKind.StoreCut -> partition("VM cut from the store", duration) { one, other ->
                one == vm.endpoint && other == store.endpoint
            }
            FaultKind.VmCut -> partition("VM cut from its peers", duration) { one, other ->
                one == vm.endpoint && other.name.startsWith("vm-")
            }
            FaultKind.StoreOut -> inject("store out", duration, { store.isDown = true }) { store.isDown = false }
            FaultKind.AnswersLost -> inject("store loses answers", duration, { store.losesWriteReplies = true }) {
                store.losesWriteReplies = false
            }
            FaultKind.ZoneOut -> takeZoneOut()
            FaultKind.ZoneCut -> partitionZone("zone cut off", duration, shape.zones[random.nextInt(shape.zones.size)])
        }
    }

    private enum class FaultKind {
        UpstreamRestarted,
        UpstreamFrozen,
        VmPaused,
        VmReplaced,
        UpstreamCut,
        StoreCut,
        VmCut,
        StoreOut,
        AnswersLost,
        ZoneOut,
        ZoneCut,
    }

    private fun inject(kind: String, duration: Duration, start: () -> Unit, stop: () -> Unit) {
        faultCounts.merge(kind, 1, Int::plus)
        start()
        fleet.time.after(duration) { stop() }
    }

    private fun partition(kind: String, duration: Duration, between: (Endpoint, Endpoint) -> Boolean) {
        var partition: VirtualNetwork.Partition? = null
        inject(kind, duration, { partition = fleet.network.partition(between) }) { partition?.heal() }
    }

    private fun partitionZone(kind: String, duration: Duration, zone: String) =
        partition(kind, duration) { one, other -> (one.zone == zone) != (other.zone == zone) }

    private fun replaceVm(vm: VirtualVm) {
        fleet.crash(vm)
        fleet.addVm()
        fleet.publishVmList()
    }

    private fun takeZoneOut() {
        faultCounts.merge("zone out and back", 1, Int::plus)
        val zone = AvailabilityZone(shape.zones[random.nextInt(shape.zones.size)])
        fleet.applyDeclaration(fleet.declaration.copy(zonesOut = setOf(zone)), ++version)
        fleet.time.after(ZONE_OUT_TIME) { fleet.applyDeclaration(fleet.declaration, ++version) }
    }

    private fun endAllFaults() {
        fleet.store.isDown = false
        fleet.store.losesWriteReplies = false
        fleet.network.healAll()
        fleet.network.conditions = NetworkConditions()
        fleet.vms.filter { it.paused }.forEach { it.resume() }
        for (upstream in fleet.upstreams.values) {
            if (upstream.frozen) upstream.thaw()
            if (upstream.crashed) upstream.restart()
        }
        fleet.applyDeclaration(fleet.declaration, ++version)
    }

    private companion object {
        const val KEY_COUNT = 24
        const val AMPLE_RATE_PER_SECOND = 100_000.0
        const val MAX_FAULT_INTERVAL_MILLIS = 1_500
        const val MAX_FAULT_DURATION_MILLIS = 6_000
        val SETTLE_TIME = 4.seconds
        val RECOVERY_TIME = 60.seconds
        val ZONE_OUT_TIME = 3.seconds
    }
}
