package cicadagauge.gateway

import cicadagauge.identity.Moment
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class EventLoopMonitorTest :
    FunSpec({
        test("what is read after the loop stood still has been waiting for as long") {
            var now = Moment.ZERO
            val loopMonitor = EventLoopMonitor { now }
            now += 60.milliseconds
            loopMonitor.lag() shouldBe Duration.ZERO
            now += 640.milliseconds
            loopMonitor.lag() shouldBe 650.milliseconds
            loopMonitor.tick()
            now += 60.milliseconds
            loopMonitor.lag() shouldBe Duration.ZERO
        }

        test("a connection that is accepted right after a stall, and read in the next turn, has been waiting as well") {
            var now = Moment.ZERO
            val loopMonitor = EventLoopMonitor { now }
            now += 1_400.milliseconds
            loopMonitor.tick()
            now += 2.milliseconds
            loopMonitor.lag() shouldBe 1_350.milliseconds
        }
    })
