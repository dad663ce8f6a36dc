package cicadagauge.gateway

import cicadagauge.identity.Moment
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StopPlanTest :
    FunSpec({
        val limit = 5_500.milliseconds
        val times = StopTimes(drainDelay = 2_600.milliseconds, answerReserve = 500.milliseconds)

        /** The phases of a stop and when they begin, where requests are open and duties held until [idleAfter]. */
        fun phases(idleAfter: Duration): List<Pair<StopPhase, Duration>> {
            val plan = StopPlan(Moment.ZERO, announced = Moment.ZERO, limit, times)
            val phases = (0..6_000 step 10).map { it.milliseconds }
                .map { plan.phaseAt(Moment.ZERO + it, isIdle = it >= idleAfter) to it }
            return phases.distinctBy { it.first }
        }

        // Guards against requests that a VM accepts until just before its end and then cuts off (review case 5).
        test("a handover that waits for the store doesn't delay the end of accepting") {
            phases(idleAfter = Duration.INFINITE) shouldBe listOf(
                StopPhase.Accepting to Duration.ZERO,
                StopPhase.Draining to 2_600.milliseconds,
                StopPhase.Refusing to 5.seconds,
                StopPhase.Ended to 5_500.milliseconds,
            )
        }

        test("a stop ends as soon as all requests are answered and all duties are handed over, but not before") {
            phases(idleAfter = 3.seconds) shouldBe listOf(
                StopPhase.Accepting to Duration.ZERO,
                StopPhase.Draining to 2_600.milliseconds,
                StopPhase.Ended to 3.seconds,
            )
        }

        test("an idle VM still accepts requests until load balancers direct callers elsewhere") {
            phases(idleAfter = Duration.ZERO) shouldBe listOf(
                StopPhase.Accepting to Duration.ZERO,
                StopPhase.Ended to 2_600.milliseconds,
            )
        }

        test("a VM whose event loop was busy when it was told to stop accepts requests for as long after that") {
            val plan = StopPlan(Moment.ZERO, announced = Moment.ZERO + 2.seconds, limit, times)
            plan.phaseAt(Moment.ZERO + 4_599.milliseconds, isIdle = false) shouldBe StopPhase.Accepting
            plan.phaseAt(Moment.ZERO + 4_600.milliseconds, isIdle = false) shouldBe StopPhase.Draining
        }

        test("a limit that is shorter than the other times ends the stop all the same") {
            val plan = StopPlan(Moment.ZERO, announced = Moment.ZERO, 100.milliseconds, times)
            plan.phaseAt(Moment.ZERO + 99.milliseconds, isIdle = false) shouldBe StopPhase.Accepting
            plan.phaseAt(Moment.ZERO + 100.milliseconds, isIdle = false) shouldBe StopPhase.Ended
        }
    })
