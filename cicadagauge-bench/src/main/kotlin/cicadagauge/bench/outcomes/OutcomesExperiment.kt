package cicadagauge.bench.outcomes

import cicadagauge.bench.Options
import cicadagauge.node.HomePolicy
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.Json

/**
 * `bench outcomes`: measures what callers get. The experiment `rates` prints a line of JSON per load, with and without
 * faults; `homes` prints one per deployment, home policy and request class, and one for
 * the worst-served customer.
 */
class OutcomesExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--experiment", "--seed", "--load", "--slowed"))
    private val experiment = options.text("--experiment") ?: "rates"
    private val seed = options.int("--seed", default = 1).toLong()
    private val loadPercent = options.int("--load", default = 60)
    private val slowed = (options.text("--slowed") ?: "0").toInt()

    /** Runs the experiment. Returns whether no customer exceeded its rate; false also for an unknown experiment. */
    fun run(): Boolean = when (experiment) {
        "rates" -> rates()
        "homes" -> homes()
        else -> {
            System.err.println("unknown experiment $experiment; known: rates, homes")
            false
        }
    }

    private fun rates(): Boolean = LOADS.flatMap { load ->
        listOf(false, true).map { load to it }
    }.map { (load, faults) ->
        val figures = RateRun(load, seed, faults).run()
        val within = figures.offered * minOf(1.0, 1 / load)
        println(
            Json.mapper.writeValueAsString(RateLine("rates", seed, load, faults, figures, figures.admitted / within)),
        )
        figures.overdraft <= 0.0
    }.all { it }

    private fun homes(): Boolean {
        val shapes = mapOf("hoshizora" to DeploymentShape.HOSHIZORA, "rotaline" to DeploymentShape.ROTALINE)
        for ((name, shape) in shapes) {
            for (policy in HomePolicy.entries) {
                val run = HomeRun(shape, policy, loadPercent / PERCENT, seed, slowed).run()
                run.byClass.filterValues { it.micros.totalCount > 0 }.forEach { (requestClass, figures) ->
                    print(name, policy, requestClass.name.lowercase(), figures, run.overloads)
                }
                val worst = run.byCustomer.maxBy { it.value.micros.getValueAtPercentile(TAIL) }
                print(name, policy, "worst customer (${worst.key})", worst.value, run.overloads)
            }
        }
        return true
    }

    private fun print(shape: String, policy: HomePolicy, label: String, figures: ClassFigures, overloads: Long) {
        val line = HomeLine(
            experiment = "homes",
            shape = shape,
            seed = seed,
            loadPercent = loadPercent,
            slowed = slowed,
            policy = policy.name.lowercase(),
            label = label,
            answered = figures.micros.totalCount,
            refused = figures.refused,
            p50Ms = figures.micros.getValueAtPercentile(MEDIAN) / MICROS,
            p99Ms = figures.micros.getValueAtPercentile(TAIL) / MICROS,
            p999Ms = figures.micros.getValueAtPercentile(FAR_TAIL) / MICROS,
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
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val FAR_TAIL = 99.9
        const val MICROS = 1_000.0
    }
}
