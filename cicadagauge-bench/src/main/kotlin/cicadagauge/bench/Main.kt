/*
 * The program behind `bin/bench`: runs an experiment and prints a JSON line for each result.
 */
package cicadagauge.bench

import cicadagauge.bench.capacity.CapacityExperiment
import cicadagauge.bench.outcomes.OutcomesExperiment
import cicadagauge.bench.ownership.FaultsExperiment
import cicadagauge.bench.ownership.OwnershipExperiment
import cicadagauge.bench.path.PathExperiment
import kotlin.system.exitProcess

/** Runs the experiment that [args] name; exits non-zero where a promise broke. */
fun main(args: Array<String>) {
    val options = args.drop(1)
    val held = when (args.firstOrNull()) {
        "ownership" -> OwnershipExperiment(options).run()
        "capacity" -> CapacityExperiment(options).run()
        "path" -> PathExperiment(options).run()
        "outcomes" -> OutcomesExperiment(options).run()
        "faults" -> FaultsExperiment(options).run()
        else -> {
            System.err.println(
                "usage: bin/bench ownership|faults|outcomes|capacity|path [OPTIONS]; see docs/MEASUREMENTS.md",
            )
            exitProcess(2)
        }
    }
    exitProcess(if (held) 0 else 1)
}
