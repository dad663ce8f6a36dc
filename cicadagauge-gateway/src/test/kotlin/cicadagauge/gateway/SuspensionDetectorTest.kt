package cicadagauge.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class SuspensionDetectorTest :
    FunSpec({
        test("a suspension is reported when the wall clock has advanced more than the monotonic clock") {
            var monotonicNanos = 5_000_000_000L
            var wallMillis = 1_000_000L
            val detector = SuspensionDetector({ monotonicNanos }, { wallMillis })
            monotonicNanos += 100_000_000
            wallMillis += 101
            detector.clockJump().shouldBeNull()
            wallMillis += 4_000
            detector.clockJump() shouldBe 4.seconds
            detector.clockJump().shouldBeNull()
        }

        test("a wall clock that was set back is reported as well") {
            var wallMillis = 1_000_000L
            val detector = SuspensionDetector({ 0L }, { wallMillis })
            wallMillis -= 2_000
            detector.clockJump() shouldBe (-2).seconds
        }
    })
