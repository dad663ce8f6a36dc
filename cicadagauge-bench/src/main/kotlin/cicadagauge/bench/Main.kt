/*
 * The entry point of `bin/bench`: runs one experiment and prints each result as a line of JSON.
 */
package cicadagauge.bench

import cicadagauge.bench.capacity.CapacityExperiment
import cicadagauge.bench.era.ErasExperiment
import cicadagauge.bench.outcomes.OutcomesExperiment
import cicadagauge.bench.ownership.FaultsExperiment
import cicadagauge.bench.ownership.OwnershipExperiment
import cicadagauge.bench.path.PathExperiment
import kotlin.system.exitProcess

/**
 * Runs the experiment that the first of [args] names. Exits with 0 if all checks of the experiment passed, 2 if the
 * name is unknown or [Options] refuses an option, and 1 otherwise, also for an unknown `--experiment` or a malformed
 * number in `--slowed` or `--sizes`.
 */
fun main(args: Array<String>) {
    val options = args.drop(1)
    val passed = when (args.firstOrNull()) {
        "ownership" -> OwnershipExperiment(options).run()
        "capacity" -> CapacityExperiment(options).run()
        "path" -> PathExperiment(options).run()
        "outcomes" -> OutcomesExperiment(options).run()
        "faults" -> FaultsExperiment(options).run()
        "eras" -> ErasExperiment(options).run()
        else -> {
            System.err.println(
                "usage: bin/bench ownership|faults|eras|outcomes|capacity|path [OPTIONS]; see docs/MEASUREMENTS.md",
            )
            exitProcess(2)
        }
    }
    exitProcess(if (passed) 0 else 1)
}
