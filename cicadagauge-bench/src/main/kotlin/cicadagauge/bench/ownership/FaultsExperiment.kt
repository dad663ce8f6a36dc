package cicadagauge.bench.ownership

import cicadagauge.bench.Options
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.Json
import kotlin.time.Duration.Companion.seconds

/** `bench faults`: runs random faults with each of the given seeds and prints a line of JSON per seed. */
class FaultsExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--seeds", "--first", "--seconds"))
    private val seeds = options.int("--seeds", default = 5)
    private val firstSeed = options.int("--first", default = 1).toLong()
    private val length = options.int("--seconds", default = 120).seconds

    /** Runs all seeds. Returns whether no slot ever had two owners and every slot had an owner at the end. */
    fun run(): Boolean = (firstSeed until firstSeed + seeds).map { seed ->
        val run = RandomFaults(DeploymentShape.HOSHIZORA, seed, length).run()
        println(Json.mapper.writeValueAsString(run))
        run.maxOwners <= 1 && run.unowned == 0
    }.all { it }
}
