package cicadagauge.dispatch

import cicadagauge.identity.AvailabilityZone
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class ZoneSelectorTest :
    FunSpec({
        val zones = listOf("a", "b", "c").map(::AvailabilityZone)

        test("zones are tried in order, and then the one with the shortest wait is chosen") {
            val selector = ZoneSelector(zones)
            selector.zone shouldBe zones[0]
            selector.tryNext(300.milliseconds) shouldBe true
            selector.zone shouldBe zones[1]
            selector.tryNext(100.milliseconds) shouldBe true
            selector.zone shouldBe zones[2]
            selector.maySpill shouldBe true
            selector.tryNext(200.milliseconds) shouldBe true
            selector.zone shouldBe zones[1]
            selector.maySpill shouldBe false
            selector.tryNext(100.milliseconds) shouldBe false
        }

        test("a single zone is final") {
            val selector = ZoneSelector(zones.take(1))
            selector.maySpill shouldBe false
            selector.tryNext(1.milliseconds) shouldBe false
        }

        test("without zones there is none to try") {
            val selector = ZoneSelector(emptyList())
            selector.zone shouldBe null
            selector.tryNext(1.milliseconds) shouldBe false
        }
    })
