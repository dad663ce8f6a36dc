package cicadagauge.bench.era

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.stream.LongStream
import kotlin.time.Duration.Companion.seconds

/** Explores random schedules with a store that comes back from older copies. Each seed is one schedule. */
class StoreEraExplorerTest :
    FunSpec({
        fun explore(seeds: LongRange, play: (Long) -> EraRun): List<EraRun> =
            LongStream.rangeClosed(seeds.first, seeds.last).parallel().mapToObj(play).toList()

        val seeds = System.getProperty(SEEDS_PROPERTY)?.toLong() ?: SEEDS_IN_CI

        test("no slot has two owners, no fence or term is given twice and no declaration reverts: $seeds schedules") {
            val runs = explore(1..seeds) { StoreEraExplorer(it).run() }
            withClue("seeds with violations") { runs.filter { it.violations.isNotEmpty() } shouldBe emptyList() }
            runs.sumOf { it.rollbacks } shouldBeGreaterThan 0
        }

        test("every slot has an owner again after the store came back and all faults have ended") {
            val runs = explore(1..RECOVERY_SEEDS) { StoreEraExplorer(it).run(recovery = 45.seconds) }
            withClue("seeds") { runs.filter { it.unowned > 0 || it.violations.isNotEmpty() } shouldBe emptyList() }
        }

        test("the schedules break the rules where the store does not tell its era") {
            val runs = explore(1..BLIND_SEEDS) { StoreEraExplorer(it, tellsEra = false).run() }
            val broken = runs.filter { it.violations.isNotEmpty() }
            println(
                "without eras ${broken.size} of $BLIND_SEEDS schedules break a rule: ${broken.firstOrNull()}",
            )
            broken.shouldNotBeEmpty()
        }
    }) {
    private companion object {
        /** System property with the number of schedules to play. */
        const val SEEDS_PROPERTY = "cicadagauge.era.seeds"
        const val SEEDS_IN_CI = 1_000L
        const val RECOVERY_SEEDS = 60L
        const val BLIND_SEEDS = 200L
    }
}
