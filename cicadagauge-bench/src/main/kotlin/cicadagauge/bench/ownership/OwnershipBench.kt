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
 * @property lostAssignments slots whose owner changed although neither the old nor the new owner had a fault
 * @property unavailable the longest time that any key went unserved
 * @property moved slots whose owner differs between the start and the end of the run
 * @property movedLeast slots that had to move because their owner had not recovered by the end of the run
 * @property refusals the number of refused requests by reason
 */
data class RowRun(
    val seed: Long,
    val maxOwners: Int,
    val lostAssignments: Int,
    val unavailable: Duration,
    val moved: Int,
    val movedLeast: Int,
    val storeCallsPerSecond: Double,
    val refusals: Map<Reason, Int>,
)

/** Runs failure scenarios under virtual time on a fleet of [vms] entry VMs. */
class OwnershipBench(shape: DeploymentShape = DeploymentShape.HOSHIZORA, private val vms: Int = 9) {
    private val shape = shape.copy(customerRates = listOf(AMPLE_RATE))

    /** Runs [row] once, with all randomness drawn from [seed]. */
    fun run(row: FailureRow, seed: Long): RowRun {
        val audit = OwnershipAudit()
        val fleet = VirtualFleet(FleetSettings(shape, vms, seed, network = row.network), audit).start()
        val prober = Prober(fleet, shape.traffic.first().path.removeSuffix("/{key}"), KEYS)
        fleet.time.advanceBy(SETTLING)
        prober.start()
        fleet.time.advanceBy(WARM_UP)
        val breakage = Breakage(fleet, Random(seed))
        val pool = breakage.pool()
        val before = audit.owners(fleet, pool)
        val callsBefore = fleet.store.model.calls
        prober.watch()
        row.act(breakage)
        fleet.time.advanceBy(row.length)
        val after = audit.owners(fleet, pool)
        return RowRun(
            seed = seed,
            maxOwners = audit.maxOwners,
            lostAssignments = lost(before, after, breakage.touched),
            unavailable = prober.longestGap(),
            moved = before.zip(after).count { (one, other) -> one != other },
            movedLeast = before.count { it in breakage.touched && !isBack(fleet, it) },
            storeCallsPerSecond = (fleet.store.model.calls - callsBefore) / row.length.toDouble(DurationUnit.SECONDS),
            refusals = prober.refusals,
        )
    }

    /** Counts the slots whose owner changed although neither the old nor the new owner is among [touched]. */
    private fun lost(before: List<UpstreamId?>, after: List<UpstreamId?>, touched: Set<UpstreamId>): Int =
        before.indices.count { before[it] != after[it] && before[it] !in touched && after[it] !in touched }

    private fun isBack(fleet: VirtualFleet, id: UpstreamId?): Boolean =
        id != null && fleet.upstreams.getValue(id).let { !it.crashed && !it.frozen }

    private companion object {
        const val KEYS = 48
        const val AMPLE_RATE = 100_000.0
        val SETTLING = 4.seconds
        val WARM_UP = 4.seconds
    }
}
