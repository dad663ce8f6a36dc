package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effect
import cicadagauge.node.Effects

/**
 * Sends range orders and passes each outcome to the callback of its order. [onNotReached] is told of each upstream that
 * has refused the connection or has not answered.
 */
internal class RangeOrders(
    private val effects: Effects,
    private val onNotReached: (UpstreamId, Moment) -> Unit = { _, _ -> },
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
        val isNotReached = outcome == RangeOrderOutcome.Refused || outcome == RangeOrderOutcome.Unanswered
        if (isNotReached) onNotReached(order.upstream, now)
        order.onOutcome(outcome, now)
    }

    private class OpenOrder(val upstream: UpstreamId, val onOutcome: (RangeOrderOutcome, Moment) -> Unit)
}
