package cicadagauge.gateway.upstream

import cicadagauge.gateway.UpstreamLimits
import cicadagauge.outcome.TruncationCause
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.util.concurrent.MockTicker
import io.netty.util.concurrent.Ticker
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun MockTicker.pass(duration: Duration): Unit = advance(duration.inWholeNanoseconds, TimeUnit.NANOSECONDS)

class ResponseProgressTest :
    FunSpec({
        val limits = UpstreamLimits()

        test("before the deadline a response may last for any time, as long as it makes progress") {
            val ticker = Ticker.newMockTicker()
            val progress = ResponseProgress(limits, ticker)
            repeat(20) {
                ticker.pass(limits.responseProgress - 1.milliseconds)
                progress.truncation() shouldBe null
                progress.recordRead()
            }
            progress.nextCheck() shouldBe limits.responseProgress
            ticker.pass(limits.responseProgress)
            progress.truncation() shouldBe TruncationCause.Stalled
        }

        test("after the deadline a response that makes progress is given up at the end of its time") {
            val ticker = Ticker.newMockTicker()
            val progress = ResponseProgress(limits, ticker)
            progress.recordDeadline()
            ticker.pass(200.milliseconds)
            progress.recordRead()
            ticker.pass(199.milliseconds)
            progress.truncation() shouldBe null
            progress.nextCheck() shouldBe 1.milliseconds
            progress.recordRead()
            ticker.pass(1.milliseconds)
            progress.truncation() shouldBe TruncationCause.Overdue
        }

        test("a pause because the caller reads slowly is excluded, also if it began before the deadline") {
            val ticker = Ticker.newMockTicker()
            val progress = ResponseProgress(limits, ticker)
            progress.recordPause(isPaused = true)
            ticker.pass(1.seconds)
            progress.recordDeadline()
            ticker.pass(2.seconds)
            progress.truncation() shouldBe null
            progress.recordPause(isPaused = false)
            progress.truncation() shouldBe null
            ticker.pass(249.milliseconds)
            progress.truncation() shouldBe null
            ticker.pass(1.milliseconds)
            progress.truncation() shouldBe TruncationCause.Stalled
        }

        test("pauses do not let a response last without end") {
            val ticker = Ticker.newMockTicker()
            val progress = ResponseProgress(limits, ticker)
            progress.recordDeadline()
            var lasted = Duration.ZERO
            while (progress.truncation() == null && lasted < 60.seconds) {
                progress.recordRead()
                progress.recordPause(isPaused = true)
                ticker.pass(99.milliseconds)
                progress.recordPause(isPaused = false)
                ticker.pass(1.milliseconds)
                lasted += 100.milliseconds
            }
            progress.truncation() shouldBe TruncationCause.Overdue
            (lasted <= limits.responseProgress + limits.overdueResponse) shouldBe true
        }
    })
