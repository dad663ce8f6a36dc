package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.identity.UpstreamId
import cicadagauge.outcome.Reason
import cicadagauge.standins.deployment.DeploymentShape
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The result of one run of a failure scenario.
 *
 * @property maxOwners the largest number of upstreams that owned the same slot at the same time
 * @property lostAssignments slots whose owner changed, or that were left without an owner, although neither the old
 *   owner nor the new one, if any, had a fault
 * @property unavailable the longest time that any key went unserved, as measured by [Prober.longestGap]
 * @property moved slots whose owner differs between the start and the end of the run
 * @property requiredMoves slots that had to move because their owner had not recovered by the end of the run
 * @property refusals the number of refused requests by reason
 */
data class ScenarioRun(
    val seed: Long,
    val maxOwners: Int,
    val lostAssignments: Int,
    val unavailable: Duration,
    val moved: Int,
    val requiredMoves: Int,
    val storeCallsPerSecond: Double,
    val refusals: Map<Reason, Int>,
)

/** Runs failure scenarios under virtual time on a fleet of [vms] entry VMs. */
class ScenarioRunner(shape: DeploymentShape = DeploymentShape.HOSHIZORA, private val vms: Int = 9) {
    private val shape = shape.copy(customerRates = listOf(AMPLE_RATE_PER_SECOND))

    /** Runs [scenario] once, with all randomness drawn from [seed]. */
    fun run(scenario: FailureScenario, seed: Long): ScenarioRun {
        val audit = OwnershipAudit()
        val fleet = VirtualFleet(FleetSettings(shape, vms, seed, network = scenario.network), audit).start()
        val prober = Prober(fleet, shape.traffic.first().path.removeSuffix("/{key}"), KEY_COUNT)
        fleet.time.advanceBy(SETTLE_TIME)
        prober.start()
        fleet.time.advanceBy(WARM_UP_TIME)
        val injector = FaultInjector(fleet, Random(seed))
        val pool = injector.pool()
        val before = audit.owners(fleet, pool)
        val callsBefore = fleet.store.model.calls
        prober.startMeasuring()
        scenario.injectFaults(injector)
        fleet.time.advanceBy(scenario.duration)
        val after = audit.owners(fleet, pool)
        return ScenarioRun(
            seed = seed,
            maxOwners = audit.maxOwners,
            lostAssignments = countLostAssignments(before, after, injector.affected),
            unavailable = prober.longestGap(),
            moved = before.zip(after).count { (one, other) -> one != other },
            requiredMoves = before.count { it in injector.affected && !isRunning(fleet, it) },
            storeCallsPerSecond = (fleet.store.model.calls - callsBefore) /
                scenario.duration.toDouble(DurationUnit.SECONDS),
            refusals = prober.refusals,
        )
    }

    /**
     * Counts the slots whose owner changed, or that were left without an owner, although neither the old owner nor the
     * new one, if any, is among [affected].
     */
    private fun countLostAssignments(
        before: List<UpstreamId?>,
        after: List<UpstreamId?>,
        affected: Set<UpstreamId>,
    ): Int = before.indices.count { before[it] != after[it] && before[it] !in affected && after[it] !in affected }

    private fun isRunning(fleet: VirtualFleet, id: UpstreamId?): Boolean =
        id != null && fleet.upstreams.getValue(id).let { !it.crashed && !it.frozen }

    private companion object {
        const val KEY_COUNT = 48
        const val AMPLE_RATE_PER_SECOND = 100_000.0
        val SETTLE_TIME = 4.seconds
        val WARM_UP_TIME = 4.seconds
    }
}
