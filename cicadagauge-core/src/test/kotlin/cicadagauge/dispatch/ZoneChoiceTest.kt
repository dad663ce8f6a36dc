package cicadagauge.dispatch

import cicadagauge.identity.AvailabilityZone
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class ZoneChoiceTest :
    FunSpec({
        val zones = listOf("a", "b", "c").map(::AvailabilityZone)

        test("zones are tried in order, and then the one with the shortest wait is chosen") {
            val choice = ZoneChoice(zones)
            choice.zone shouldBe zones[0]
            choice.goOn(300.milliseconds) shouldBe true
            choice.zone shouldBe zones[1]
            choice.goOn(100.milliseconds) shouldBe true
            choice.zone shouldBe zones[2]
            choice.maySpill shouldBe true
            choice.goOn(200.milliseconds) shouldBe true
            choice.zone shouldBe zones[1]
            choice.maySpill shouldBe false
            choice.goOn(100.milliseconds) shouldBe false
        }

        test("a single zone is final") {
            val choice = ZoneChoice(zones.take(1))
            choice.maySpill shouldBe false
            choice.goOn(1.milliseconds) shouldBe false
        }

        test("without zones there is none to try") {
            val choice = ZoneChoice(emptyList())
            choice.zone shouldBe null
            choice.goOn(1.milliseconds) shouldBe false
        }
    })
