package cicadagauge.bench.ownership

import cicadagauge.bench.Options
import cicadagauge.store.Json
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** `bench ownership`: runs each failure scenario with the given seeds and prints a line of JSON per scenario. */
class OwnershipExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--seeds", "--first", "--row"))
    private val seeds = options.int("--seeds", default = 5)
    private val firstSeed = options.int("--first", default = 1).toLong()
    private val scenarioName = options.text("--row")

    /** Runs the scenarios. Returns whether every run kept within its bounds. */
    fun run(): Boolean {
        var allPassed = true
        for (scenario in FailureScenarios.all.filter { scenarioName == null || it.name == scenarioName }) {
            val runs = (firstSeed until firstSeed + seeds).map { ScenarioRunner().run(scenario, it) }
            val failed = runs.filter { violatesBounds(scenario, it) }
            println(Json.mapper.writeValueAsString(line(scenario, runs, failed)))
            if (failed.isNotEmpty()) allPassed = false
        }
        return allPassed
    }

    private fun violatesBounds(scenario: FailureScenario, run: ScenarioRun): Boolean {
        val limit = scenario.maxUnavailability
        return run.maxOwners > 1 || run.lostAssignments > 0 || (limit != null && run.unavailable > limit)
    }

    private fun line(scenario: FailureScenario, runs: List<ScenarioRun>, failed: List<ScenarioRun>): Line {
        val times = runs.map { it.unavailable }.sorted()
        return Line(
            row = scenario.name,
            seeds = runs.size,
            maxOwnersOfAKey = runs.maxOf { it.maxOwners },
            lostAssignments = runs.sumOf { it.lostAssignments },
            unavailableMs = Spread(millis(times.first()), millis(times[times.size / 2]), millis(times.last())),
            limitMs = scenario.maxUnavailability?.let(::millis),
            keysMoved = runs.sumOf { it.moved },
            keysMovedLeast = runs.sumOf { it.requiredMoves },
            storeCallsPerSecond = runs.map { it.storeCallsPerSecond }.average(),
            refusals = runs.flatMap { it.refusals.entries }
                .groupBy({ it.key.code }, { it.value })
                .mapValues { it.value.sum() },
            brokenSeeds = failed.map { it.seed },
        )
    }

    private fun millis(duration: Duration): Long = duration.toLong(DurationUnit.MILLISECONDS)

    private data class Spread(val min: Long, val median: Long, val max: Long)

    private data class Line(
        val row: String,
        val seeds: Int,
        val maxOwnersOfAKey: Int,
        val lostAssignments: Int,
        val unavailableMs: Spread,
        val limitMs: Long?,
        val keysMoved: Int,
        val keysMovedLeast: Int,
        val storeCallsPerSecond: Double,
        val refusals: Map<String, Int>,
        val brokenSeeds: List<Long>,
    )
}
