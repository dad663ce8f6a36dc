package cicadagauge.ownership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlin.time.Duration.Companion.seconds

class KeyedPoolTest :
    FunSpec({
        for (load in listOf(KeyedLoad(25), KeyedLoad(25, utilization = 0.75), KeyedLoad(99, utilization = 0.65))) {
            for (seed in 1..3) {
                test("hot stretches are spread over ${load.upstreamCount} upstreams, ${load.utilization}, seed $seed") {
                    val outcome = KeyedPoolSimulation(load, seed).run(30.seconds)
                    withClue(outcome) {
                        outcome.inTime shouldBeGreaterThan 0.8
                        outcome.lost shouldBeLessThan 0.02
                        outcome.keysMoved shouldBeLessThan 1.0
                    }
                }
            }
        }

        for (seed in 1..3) {
            test("upstreams that are slow for moments move few keys, seed $seed") {
                val load = KeyedLoad(upstreamCount = 99, utilization = 0.25, hotShare = 0.0)
                val outcome = KeyedPoolSimulation(load, seed).run(30.seconds)
                withClue(outcome) {
                    outcome.inTime shouldBeGreaterThan 0.95
                    outcome.keysMoved shouldBeLessThan 0.25
                }
            }
        }
    })
