package cicadagauge.bench.budget

import cicadagauge.bench.outcomes.RateLimitRun
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan

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

        test("at most 1 % of the requests of a customer within its rate are refused without faults") {
            val figures = RateLimitRun(load = 0.5, seed = 1, faults = false).run()
            withClue(figures) { figures.refused.toDouble() / figures.offered shouldBeLessThanOrEqual 0.01 }
        }
    })
