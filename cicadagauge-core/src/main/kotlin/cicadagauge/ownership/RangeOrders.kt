package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects

/** Sends range orders and passes each outcome to the callback of its order. */
internal class RangeOrders(private val effects: Effects) {
    private val callbacks = HashMap<RangeOrderId, (RangeOrderOutcome, Moment) -> Unit>()
    private var nextId = 1L

    /** Sends [order] to [owner]; [onOutcome] receives its outcome and the time of the outcome. */
    fun send(owner: RangeOwner, order: RangeOrder, onOutcome: (RangeOrderOutcome, Moment) -> Unit) {
        val id = RangeOrderId(nextId++)
        callbacks[id] = onOutcome
        effects.add(Effect.SendRangeOrder(id, owner, order))
    }

    /** Handles the outcome of order [id]; ignored if that order is not open. */
    fun outcomeReceived(id: RangeOrderId, outcome: RangeOrderOutcome, now: Moment) {
        callbacks.remove(id)?.invoke(outcome, now)
    }
}
