package cicadagauge.ownership

import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RangeOrdersTest :
    FunSpec({
        val owner = RangeOwner(UpstreamId("u"), null, Address("u", 1))
        val order = RangeOrder.Release(PoolName("p"), SlotRange(first = 0, last = 0), RecordVersion.NONE)

        val outcomes = mapOf(
            RangeOrderOutcome.Refused to true,
            RangeOrderOutcome.Unanswered to true,
            RangeOrderOutcome.Replaced to false,
            RangeOrderOutcome.Rejected to false,
            RangeOrderOutcome.Superseded to false,
            RangeOrderOutcome.Accepted() to false,
        )
        for ((outcome, isSignOfCut) in outcomes) {
            test("$outcome is passed on as it is, and is a sign that this VM may be cut off: $isSignOfCut") {
                val effects = Effects()
                val notReached = ArrayList<UpstreamId>()
                val orders = RangeOrders(effects) { upstream, _ -> notReached += upstream }
                var received: RangeOrderOutcome? = null
                orders.send(owner, order) { it, _ -> received = it }
                val id = (effects.take().single() as Effect.SendRangeOrder).id
                orders.outcomeReceived(id, outcome, Moment.ZERO)
                received shouldBe outcome
                notReached shouldBe if (isSignOfCut) listOf(owner.upstream) else emptyList()
            }
        }
    })
