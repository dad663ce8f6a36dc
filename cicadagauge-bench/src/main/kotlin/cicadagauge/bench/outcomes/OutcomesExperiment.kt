package cicadagauge.bench.outcomes

import cicadagauge.bench.Options
import cicadagauge.node.HomePolicy
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.Json

/**
 * `bench outcomes`: measures what callers get. The experiment `rates` prints a line of JSON per load, with and without
 * faults; `homes` prints one per deployment, home policy and request class, and one for the worst-served customer.
 */
class OutcomesExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--experiment", "--seed", "--load", "--slowed"))
    private val experiment = options.text("--experiment") ?: "rates"
    private val seed = options.int("--seed", default = 1).toLong()
    private val loadPercent = options.int("--load", default = 60)
    private val slowed = (options.text("--slowed") ?: "0").toInt()

    /** Runs the experiment. Returns whether no customer exceeded its rate; false also for an unknown experiment. */
    fun run(): Boolean = when (experiment) {
        "rates" -> runRates()
        "homes" -> runHomes()
        else -> {
            System.err.println("unknown experiment $experiment; known: rates, homes")
            false
        }
    }

    private fun runRates(): Boolean = LOADS.flatMap { load ->
        listOf(false, true).map { load to it }
    }.map { (load, faults) ->
        val figures = RateLimitRun(load, seed, faults).run()
        val entitled = figures.offered * minOf(1.0, 1 / load)
        println(
            Json.mapper.writeValueAsString(RateLine("rates", seed, load, faults, figures, figures.admitted / entitled)),
        )
        figures.overdraft <= 0.0
    }.all { it }

    private fun runHomes(): Boolean {
        val shapes = mapOf("hoshizora" to DeploymentShape.HOSHIZORA, "rotaline" to DeploymentShape.ROTALINE)
        for ((name, shape) in shapes) {
            for (policy in HomePolicy.entries) {
                val run = HomePolicyRun(shape, policy, loadPercent / PERCENT, seed, slowed).run()
                run.byClass.filterValues { it.latencyMicros.totalCount > 0 }.forEach { (requestClass, figures) ->
                    print(name, policy, requestClass.name.lowercase(), figures, run.overloads)
                }
                val worst = run.byCustomer.maxBy { it.value.latencyMicros.getValueAtPercentile(P99) }
                print(name, policy, "worst customer (${worst.key})", worst.value, run.overloads)
            }
        }
        return true
    }

    private fun print(shape: String, policy: HomePolicy, label: String, figures: LatencyFigures, overloads: Long) {
        val line = HomeLine(
            experiment = "homes",
            shape = shape,
            seed = seed,
            loadPercent = loadPercent,
            slowed = slowed,
            policy = policy.name.lowercase(),
            label = label,
            answered = figures.latencyMicros.totalCount,
            refused = figures.refused,
            p50Ms = figures.latencyMicros.getValueAtPercentile(P50) / MICROS_PER_MILLI,
            p99Ms = figures.latencyMicros.getValueAtPercentile(P99) / MICROS_PER_MILLI,
            p999Ms = figures.latencyMicros.getValueAtPercentile(P999) / MICROS_PER_MILLI,
            overloads = overloads,
        )
        println(Json.mapper.writeValueAsString(line))
    }

    private data class RateLine(
        val experiment: String,
        val seed: Long,
        val load: Double,
        val faults: Boolean,
        val figures: RateFigures,
        val admittedOfEntitled: Double,
    )

    private data class HomeLine(
        val experiment: String,
        val shape: String,
        val seed: Long,
        val loadPercent: Int,
        val slowed: Int,
        val policy: String,
        val label: String,
        val answered: Long,
        val refused: Int,
        val p50Ms: Double,
        val p99Ms: Double,
        val p999Ms: Double,
        val overloads: Long,
    )

    private companion object {
        val LOADS = listOf(0.5, 0.9, 1.0, 5.0)
        const val PERCENT = 100.0
        const val P50 = 50.0
        const val P99 = 99.0
        const val P999 = 99.9
        const val MICROS_PER_MILLI = 1_000.0
    }
}
