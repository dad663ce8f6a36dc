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
        FleetSettings(shape.copy(customerRates = listOf(AMPLE_RATE)), seed = seed, network = network),
        audit,
    )
    private val counts = sortedMapOf<String, Int>()
    private var version = 1L

    /** Runs the fault schedule that follows from the seed. */
    fun run(): FaultsRun {
        fleet.start()
        val prober = Prober(fleet, shape.traffic.first().path.removeSuffix("/{key}"), KEYS)
        fleet.time.advanceBy(SETTLING)
        prober.start()
        val end = fleet.time.now + length.inWholeNanoseconds
        while (fleet.time.now < end) {
            fleet.time.advanceBy(random.nextInt(MAX_PAUSE_MILLIS).milliseconds)
            fault()
        }
        mend()
        fleet.time.advanceBy(MENDING)
        val unowned = fleet.declaration.pools.filter { it.keyed }.sumOf { pool ->
            audit.owners(fleet, pool).count { it == null }
        }
        return FaultsRun(seed, audit.maxOwners, unowned, prober.answered, counts)
    }

    private fun fault() {
        val lasts = random.nextInt(MAX_FAULT_MILLIS).milliseconds
        val upstream = fleet.upstreams.values.elementAt(random.nextInt(fleet.upstreams.size))
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val store = fleet.store
        when (Kind.entries[random.nextInt(Kind.entries.size)]) {
            Kind.UpstreamRestarted -> note("upstream crashed and restarted", lasts, {
                upstream.crash()
            }) { upstream.restart() }
            Kind.UpstreamFrozen -> note("upstream frozen", lasts, { upstream.freeze() }) { upstream.thaw() }
            Kind.VmPaused -> note("VM paused", lasts, { vm.pause() }) { if (!vm.crashed) vm.resume() }
            Kind.VmReplaced -> note("VM replaced", Duration.ZERO, { replace(vm) }) {}
            Kind.UpstreamCut -> partition("upstream cut from a VM", lasts) { one, other ->
                one == upstream.endpoint && other == vm.endpoint
            }
            Kind.StoreCut -> partition("VM cut from the store", lasts) { one, other ->
                one == vm.endpoint && other == store.endpoint
            }
            Kind.VmCut -> partition("VM cut from its peers", lasts) { one, other ->
                one == vm.endpoint && other.name.startsWith("vm-")
            }
            Kind.StoreOut -> note("store out", lasts, { store.isDown = true }) { store.isDown = false }
            Kind.AnswersLost -> note("store loses answers", lasts, { store.losesWriteReplies = true }) {
                store.losesWriteReplies = false
            }
            Kind.ZoneOut -> zoneOut()
            Kind.ZoneCut -> partitionZone("zone cut off", lasts, shape.zones[random.nextInt(shape.zones.size)])
        }
    }

    private enum class Kind {
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

    private fun note(kind: String, lasts: Duration, breaking: () -> Unit, mending: () -> Unit) {
        counts.merge(kind, 1, Int::plus)
        breaking()
        fleet.time.after(lasts) { mending() }
    }

    private fun partition(kind: String, lasts: Duration, between: (Endpoint, Endpoint) -> Boolean) {
        var partition: VirtualNetwork.Partition? = null
        note(kind, lasts, { partition = fleet.network.partition(between) }) { partition?.heal() }
    }

    private fun partitionZone(kind: String, lasts: Duration, zone: String) =
        partition(kind, lasts) { one, other -> (one.zone == zone) != (other.zone == zone) }

    private fun replace(vm: VirtualVm) {
        fleet.crash(vm)
        fleet.addVm()
        fleet.publishVmList()
    }

    private fun zoneOut() {
        counts.merge("zone out and back", 1, Int::plus)
        val zone = AvailabilityZone(shape.zones[random.nextInt(shape.zones.size)])
        fleet.applyDeclaration(fleet.declaration.copy(zonesOut = setOf(zone)), ++version)
        fleet.time.after(ZONE_OUT) { fleet.applyDeclaration(fleet.declaration, ++version) }
    }

    private fun mend() {
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
        const val KEYS = 24
        const val AMPLE_RATE = 100_000.0
        const val MAX_PAUSE_MILLIS = 1_500
        const val MAX_FAULT_MILLIS = 6_000
        val SETTLING = 4.seconds
        val MENDING = 60.seconds
        val ZONE_OUT = 3.seconds
    }
}
