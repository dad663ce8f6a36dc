package cicadagauge.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class SuspensionDetectorTest :
    FunSpec({
        test("a suspension shows as a time of day that has advanced by more than the steady clock") {
            var steady = 5_000_000_000L
            var wall = 1_000_000L
            val watch = SuspensionDetector({ steady }, { wall })
            steady += 100_000_000
            wall += 101
            watch.clockJump().shouldBeNull()
            wall += 4_000
            watch.clockJump() shouldBe 4.seconds
            watch.clockJump().shouldBeNull()
        }

        test("a time of day that was set back counts as well") {
            var wall = 1_000_000L
            val watch = SuspensionDetector({ 0L }, { wall })
            wall -= 2_000
            watch.clockJump() shouldBe (-2).seconds
        }
    })
