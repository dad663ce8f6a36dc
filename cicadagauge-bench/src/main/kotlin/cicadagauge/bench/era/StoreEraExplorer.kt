package cicadagauge.bench.era

import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The result of one schedule.
 *
 * @property violations see [EraRules]
 * @property rollbacks how often the store came back from an older copy
 * @property unowned slots without an owner at the end, after the time for recovery
 */
data class EraRun(val seed: Long, val violations: List<String>, val rollbacks: Int, val unowned: Int)

/**
 * Plays a random schedule of faults with a store that comes back from older copies. All randomness comes from [seed].
 * With [tellsEra] false the store does not tell that it came back. [onTrace] receives a line for each step.
 */
class StoreEraExplorer(private val seed: Long, tellsEra: Boolean = true, onTrace: ((String) -> Unit)? = null) {
    private val random = Random(seed)
    private val fleet = EraFleet(random, hosts = 2 + random.nextInt(2), tellsEra = tellsEra, onTrace = onTrace)
    private val time = fleet.time
    private var rollbacks = 0

    /** Plays the schedule, and then lets the fleet recover for [recovery]. */
    fun run(recovery: Duration = Duration.ZERO): EraRun {
        fleet.start()
        time.advanceBy(SETTLE_TIME * random.nextDouble())
        repeat(FAULTS) {
            time.advanceBy(MAX_INTERVAL * random.nextDouble())
            injectFault()
        }
        time.advanceBy(END_TIME)
        if (recovery.isPositive()) recover(recovery)
        return EraRun(seed, fleet.rules.violations, rollbacks, fleet.unownedSlots())
    }

    private fun injectFault() {
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val upstream = fleet.upstreams[random.nextInt(fleet.upstreams.size)]
        val duration = MAX_FAULT_TIME * random.nextDouble()
        val fault = Fault.entries[random.nextInt(Fault.entries.size)]
        fleet.trace { "$fault for $duration: ${vm.id}, ${upstream.id}" }
        when (fault) {
            Fault.StoreRolledBack -> rollBack(if (random.nextBoolean()) Duration.ZERO else duration)
            Fault.StoreRolledBackTwice -> {
                rollBack(Duration.ZERO)
                time.after(MAX_INTERVAL * random.nextDouble()) { rollBack(Duration.ZERO) }
            }
            Fault.VmCutFromStore -> cut(duration) { it == vm.endpoint.name || it == fleet.store.endpoint.name }
            Fault.VmCutFromUpstream -> cut(duration) { it == vm.endpoint.name || it == upstream.endpoint.name }
            Fault.VmsCutOff -> cut(duration) { it.startsWith("vm-") }
            Fault.VmPaused -> {
                vm.pause()
                time.after(duration) { if (!vm.crashed) vm.resume() }
            }
            Fault.VmRestarted -> fleet.restartVm(fleet.vms.indexOf(vm))
            Fault.UpstreamDrained -> {
                upstream.isDraining = true
                time.after(duration) { upstream.isDraining = false }
            }
            Fault.UpstreamRestarted -> {
                upstream.crash()
                time.after(duration) { upstream.restart() }
            }
            Fault.WriteRepliesLost -> {
                fleet.store.losesWriteReplies = true
                time.after(duration / 2) { fleet.store.losesWriteReplies = false }
            }
            Fault.DeclarationChanged -> fleet.changeDeclaration()
        }
    }

    private fun rollBack(outage: Duration) {
        fleet.store.isDown = true
        time.after(outage) {
            rollbacks++
            fleet.rollBackStore()
        }
    }

    /** Cuts the processes whose names [isPart] accepts off from each other. */
    private fun cut(duration: Duration, isPart: (String) -> Boolean) {
        val partition = fleet.network.partition { one, other -> isPart(one.name) && isPart(other.name) }
        time.after(duration) { partition.heal() }
    }

    private fun recover(recovery: Duration) {
        fleet.heal()
        fleet.store.isDown = false
        fleet.vms.filter { it.paused }.forEach { it.resume() }
        fleet.upstreams.forEach { upstream ->
            upstream.restart()
            upstream.isDraining = false
        }
        time.advanceBy(recovery)
    }

    private enum class Fault {
        StoreRolledBack,
        StoreRolledBackTwice,
        VmCutFromStore,
        VmCutFromUpstream,
        VmsCutOff,
        VmPaused,
        VmRestarted,
        UpstreamDrained,
        UpstreamRestarted,
        WriteRepliesLost,
        DeclarationChanged,
    }

    private companion object {
        const val FAULTS = 8
        val SETTLE_TIME = 6.seconds
        val MAX_INTERVAL = 1_200.milliseconds
        val MAX_FAULT_TIME = 3.seconds
        val END_TIME = 3.seconds
    }
}
