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

        for (reachesUpstreams in listOf(true, false)) {
            val expected = if (reachesUpstreams) RangeOrderOutcome.Gone else RangeOrderOutcome.Unanswered
            test("the outcome of an order to an owner that is gone, while upstreams are reached: $reachesUpstreams") {
                val effects = Effects()
                val orders = RangeOrders(effects, { now, onChecked -> onChecked(reachesUpstreams, now) })
                var received: RangeOrderOutcome? = null
                orders.send(owner, order) { outcome, _ -> received = outcome }
                val id = (effects.take().single() as Effect.SendRangeOrder).id
                orders.outcomeReceived(id, RangeOrderOutcome.Gone, Moment.ZERO)
                received shouldBe expected
            }
        }
    })
