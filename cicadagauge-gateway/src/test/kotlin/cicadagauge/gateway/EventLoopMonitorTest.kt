package cicadagauge.gateway

import cicadagauge.identity.Moment
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class EventLoopMonitorTest :
    FunSpec({
        test("the lag is the duration of a stall and is zero again some time after it") {
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

        test("the lag still covers a stall one turn later, when a newly accepted connection is read") {
            var now = Moment.ZERO
            val loopMonitor = EventLoopMonitor { now }
            now += 1_400.milliseconds
            loopMonitor.tick()
            now += 2.milliseconds
            loopMonitor.lag() shouldBe 1_350.milliseconds
        }
    })
