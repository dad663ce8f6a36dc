package cicadagauge.gateway.upstream

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.node.RelayedRequest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class RelayHeaderTest :
    FunSpec({
        val request = RelayedRequest(
            pool = PoolName("p"),
            slot = Slot(7),
            requestClass = RequestClass.Bulk,
            customer = CustomerName("c"),
            idempotent = true,
            maxRuns = 2,
            zone = AvailabilityZone("a"),
            maySpill = false,
            targetLeft = (-20).milliseconds,
        )

        for (sent in listOf(request, request.copy(slot = null, zone = null, maySpill = true, targetLeft = null))) {
            test("the header carries the time left until ${sent.targetLeft} and everything else") {
                RelayHeader.read(RelayHeader.write(sent)) shouldBe sent
            }
        }

        test("a header with too few fields can't be decoded") {
            RelayHeader.read("p;;0;c;true;2;a") shouldBe null
        }
    })
