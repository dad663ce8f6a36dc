package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.membership.ReachabilityCheck
import cicadagauge.node.Effect
import cicadagauge.node.Effects

/**
 * Sends range orders and passes each outcome to the callback of its order. That an owner is gone is only believed while
 * this VM reaches other upstreams; otherwise the order counts as not answered. [onUnanswered] is told of each upstream
 * that has not answered an order.
 */
internal class RangeOrders(
    private val effects: Effects,
    private val reachability: ReachabilityCheck,
    private val onUnanswered: (UpstreamId, Moment) -> Unit = { _, _ -> },
) {
    private val openOrders = HashMap<RangeOrderId, OpenOrder>()
    private var nextId = 1L

    /** Sends [order] to [owner]; [onOutcome] receives its outcome and the time of the outcome. */
    fun send(owner: RangeOwner, order: RangeOrder, onOutcome: (RangeOrderOutcome, Moment) -> Unit) {
        val id = RangeOrderId(nextId++)
        openOrders[id] = OpenOrder(owner.upstream, onOutcome)
        effects.add(Effect.SendRangeOrder(id, owner, order))
    }

    /** Handles the outcome of order [id]; ignored if that order is not open. */
    fun outcomeReceived(id: RangeOrderId, outcome: RangeOrderOutcome, now: Moment) {
        val order = openOrders.remove(id) ?: return
        if (outcome == RangeOrderOutcome.Unanswered) onUnanswered(order.upstream, now)
        if (outcome != RangeOrderOutcome.Gone) return order.onOutcome(outcome, now)
        reachability.check(now) { reachesUpstreams, moment ->
            order.onOutcome(if (reachesUpstreams) outcome else RangeOrderOutcome.Unanswered, moment)
        }
    }

    private class OpenOrder(val upstream: UpstreamId, val onOutcome: (RangeOrderOutcome, Moment) -> Unit)
}
