package cicadagauge.dispatch

import cicadagauge.identity.Moment
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ExpectedReturnsTest :
    FunSpec({
        val now = Moment.ZERO + 1.seconds

        test("callers who are refused at the same moment return one after the other, as fast as they can be served") {
            val returns = ExpectedReturns()
            List(3) { returns.next(200.milliseconds, ratePerSecond = 20.0, now) } shouldBe
                listOf(200.milliseconds, 250.milliseconds, 300.milliseconds)
        }

        test("nobody is told to wait much longer than for room") {
            val returns = ExpectedReturns()
            List(100) { returns.next(200.milliseconds, ratePerSecond = 20.0, now) }.max() shouldBe 1.2.seconds
        }

        test("the wait is that for room again once all have returned") {
            val returns = ExpectedReturns()
            repeat(10) { returns.next(200.milliseconds, ratePerSecond = 20.0, now) }
            returns.next(100.milliseconds, ratePerSecond = 20.0, now + 5.seconds) shouldBe 100.milliseconds
        }
    })
