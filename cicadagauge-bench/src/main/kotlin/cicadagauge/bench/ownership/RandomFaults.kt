package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.FleetTraits
import cicadagauge.bench.virtual.NetworkTraits
import cicadagauge.bench.virtual.Site
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
    private val network = NetworkTraits(loss = 0.01, repeat = 0.02, straying = 0.02, stray = 2.seconds)
    private val fleet =
        VirtualFleet(FleetTraits(shape.copy(customerRates = listOf(AMPLE_RATE)), seed = seed, network = network), audit)
    private val counts = sortedMapOf<String, Int>()
    private var version = 1L

    /** Runs the fault schedule that follows from the seed. */
    fun run(): FaultsRun {
        fleet.start()
        val prober = Prober(fleet, shape.traffic.first().path.removeSuffix("/{key}"), KEYS)
        fleet.time.run(SETTLING)
        prober.start()
        val end = fleet.time.now + length.inWholeNanoseconds
        while (fleet.time.now < end) {
            fleet.time.run(random.nextInt(MAX_PAUSE_MILLIS).milliseconds)
            fault()
        }
        mend()
        fleet.time.run(MENDING)
        val unowned = fleet.declaration.pools.filter { it.keyed }.sumOf { pool ->
            audit.owners(fleet, pool).count {
                it ==
                    null
            }
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
            Kind.UpstreamCut -> cut("upstream cut from a VM", lasts) { one, other ->
                one == upstream.site &&
                    other == vm.site
            }
            Kind.StoreCut -> cut("VM cut from the store", lasts) { one, other -> one == vm.site && other == store.site }
            Kind.VmCut -> cut("VM cut from its peers", lasts) { one, other ->
                one == vm.site &&
                    other.name.startsWith("vm-")
            }
            Kind.StoreOut -> note("store out", lasts, { store.out = true }) { store.out = false }
            Kind.AnswersLost -> note("store loses answers", lasts, { store.losesAnswers = true }) {
                store.losesAnswers =
                    false
            }
            Kind.ZoneOut -> zoneOut()
            Kind.ZoneCut -> cutZone("zone cut off", lasts, shape.zones[random.nextInt(shape.zones.size)])
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

    private fun cut(kind: String, lasts: Duration, between: (Site, Site) -> Boolean) {
        var cut: VirtualNetwork.Cut? = null
        note(kind, lasts, { cut = fleet.network.cut(between) }) { cut?.heal() }
    }

    private fun cutZone(kind: String, lasts: Duration, zone: String) =
        cut(kind, lasts) { one, other -> (one.zone == zone) != (other.zone == zone) }

    private fun replace(vm: VirtualVm) {
        fleet.crash(vm)
        fleet.addVm()
        fleet.list()
    }

    private fun zoneOut() {
        counts.merge("zone out and back", 1, Int::plus)
        val zone = AvailabilityZone(shape.zones[random.nextInt(shape.zones.size)])
        fleet.apply(fleet.declaration.copy(zonesOut = setOf(zone)), ++version)
        fleet.time.after(ZONE_OUT) { fleet.apply(fleet.declaration, ++version) }
    }

    private fun mend() {
        fleet.store.out = false
        fleet.store.losesAnswers = false
        fleet.network.healAll()
        fleet.network.traits = NetworkTraits()
        fleet.vms.filter { it.paused }.forEach { it.resume() }
        for (upstream in fleet.upstreams.values) {
            if (upstream.frozen) upstream.thaw()
            if (upstream.crashed) upstream.restart()
        }
        fleet.apply(fleet.declaration, ++version)
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
