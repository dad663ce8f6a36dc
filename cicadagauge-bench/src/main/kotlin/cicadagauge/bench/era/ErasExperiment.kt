package cicadagauge.bench.era

import cicadagauge.bench.Options
import cicadagauge.store.Json
import java.util.stream.LongStream
import kotlin.time.Duration.Companion.seconds

/**
 * `bench eras`: plays random schedules with a store that comes back from older copies. Prints a line of JSON for each
 * schedule that breaks a rule, or after which a slot has no owner; with `--trace yes` also each step, with
 * `--recovery 0` without the time for recovery, and with `--tells-era no` as if the store told no era.
 */
class ErasExperiment(arguments: List<String>) {
    private val options =
        Options(arguments, known = setOf("--seeds", "--first", "--trace", "--tells-era", "--recovery"))
    private val seeds = options.int("--seeds", default = 100)
    private val firstSeed = options.int("--first", default = 1).toLong()
    private val tellsEra = options.text("--tells-era") != "no"
    private val recovery = (options.text("--recovery")?.toInt() ?: RECOVERY_SECONDS).seconds
    private val onTrace: ((String) -> Unit)? = if (options.text("--trace") == "yes") ::println else null

    /** Plays all schedules. Returns whether none broke a rule and every slot had an owner at the end. */
    fun run(): Boolean {
        val broken = LongStream.range(firstSeed, firstSeed + seeds).parallel()
            .mapToObj { StoreEraExplorer(it, tellsEra, onTrace).run(recovery) }
            .filter { it.violations.isNotEmpty() || (recovery.isPositive() && it.unowned > 0) }
            .toList()
        broken.forEach { println(Json.mapper.writeValueAsString(it)) }
        println("${broken.size} of $seeds schedules broke a rule")
        return broken.isEmpty()
    }

    private companion object {
        const val RECOVERY_SECONDS = 45
    }
}
