package cicadagauge.bench.ownership

import cicadagauge.bench.Options
import cicadagauge.store.Json
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** `bench ownership`: runs each failure scenario with the given seeds and prints a line of JSON per scenario. */
class OwnershipExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--seeds", "--first", "--row"))
    private val seeds = options.int("--seeds", default = 5)
    private val first = options.int("--first", default = 1).toLong()
    private val only = options.text("--row")

    /** Runs the scenarios. Returns whether every run kept within its bounds. */
    fun run(): Boolean {
        var held = true
        for (row in FailureTable.rows.filter { only == null || it.name == only }) {
            val runs = (first until first + seeds).map { OwnershipBench().run(row, it) }
            val broken = runs.filter { breaks(row, it) }
            println(Json.mapper.writeValueAsString(line(row, runs, broken)))
            if (broken.isNotEmpty()) held = false
        }
        return held
    }

    private fun breaks(row: FailureRow, run: RowRun): Boolean {
        val limit = row.limit
        return run.maxOwners > 1 || run.lostAssignments > 0 || (limit != null && run.unavailable > limit)
    }

    private fun line(row: FailureRow, runs: List<RowRun>, broken: List<RowRun>): Line {
        val times = runs.map { it.unavailable }.sorted()
        return Line(
            row = row.name,
            seeds = runs.size,
            maxOwnersOfAKey = runs.maxOf { it.maxOwners },
            lostAssignments = runs.sumOf { it.lostAssignments },
            unavailableMs = Spread(millis(times.first()), millis(times[times.size / 2]), millis(times.last())),
            limitMs = row.limit?.let(::millis),
            keysMoved = runs.sumOf { it.moved },
            keysMovedLeast = runs.sumOf { it.movedLeast },
            storeCallsPerSecond = runs.map { it.storeCallsPerSecond }.average(),
            refusals = runs.flatMap {
                it.refusals.entries
            }.groupBy({ it.key.code }, { it.value }).mapValues { it.value.sum() },
            brokenSeeds = broken.map { it.seed },
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
