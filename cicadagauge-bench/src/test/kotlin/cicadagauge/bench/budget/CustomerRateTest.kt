package cicadagauge.bench.budget

import cicadagauge.bench.outcomes.RateLimitRun
import cicadagauge.bench.virtual.NetworkConditions
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests, under virtual time, that all VMs together admit at most rate x time + burst requests of a customer. The bound
 * holds exactly, without tolerance.
 */
class CustomerRateTest :
    FunSpec({
        for (seed in 1L..4L) {
            test("a customer never exceeds its rate and burst under faults, with seed $seed") {
                val figures = RateLimitRun(load = 5.0, seed = seed, faults = true).run()
                withClue("seed $seed gave $figures") {
                    figures.overdraft shouldBeLessThanOrEqual 0.0
                    figures.admitted shouldBeGreaterThan 0
                }
            }
        }

        for (seed in 1L..Integer.getInteger(SEEDS_PROPERTY, SEEDS_IN_CI)) {
            for (delayMillis in listOf(1, 40, 150)) {
                val setting = "$delayMillis ms between zones and seed $seed"
                test("late, lost and repeated answers of coordinators don't let a customer exceed its rate: $setting") {
                    val network = NetworkConditions(
                        crossZoneDelay = delayMillis.milliseconds,
                        lossProbability = 0.05,
                        duplicationProbability = 0.1,
                        extraDelayProbability = 0.2,
                    )
                    val figures =
                        RateLimitRun(load = 5.0, seed, faults = true, length = 30.seconds, network = network).run()
                    withClue("$setting gave $figures") {
                        figures.overdraft shouldBeLessThanOrEqual 0.0
                        figures.admitted shouldBeGreaterThan 0
                    }
                }
            }
        }

        test("at most 1 % of the requests of a customer within its rate are refused without faults") {
            val figures = RateLimitRun(load = 0.5, seed = 1, faults = false).run()
            withClue(figures) { figures.refused.toDouble() / figures.offered shouldBeLessThanOrEqual 0.01 }
        }
    })

/** The system property that sets the number of seeds, for longer runs by hand. */
private const val SEEDS_PROPERTY = "cicadagauge.budget.seeds"
private const val SEEDS_IN_CI = 3
