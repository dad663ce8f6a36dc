package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange

/** Issues store calls and passes each reply to its caller. */
internal class StoreClient(private val effects: Effects) {
    private val callbacks = HashMap<StoreCallId, (StoreReply, Moment) -> Unit>()
    private var nextId = 1L
    private var reachable = true

    /** When the store last answered any call. */
    var lastAnswerAt: Moment = Moment.PAST
        private set

    /** When the store last became reachable again; [Moment.PAST] where it always was. */
    var returnedAt: Moment = Moment.PAST
        private set

    /** Issues [call]; [onReply] is called once with the reply and the time of its receipt. */
    fun call(call: StoreCall, onReply: (StoreReply, Moment) -> Unit) {
        val id = StoreCallId(nextId++)
        callbacks[id] = onReply
        effects.add(Effect.CallStore(id, call))
    }

    /** Handles the reply to call [id]; a second reply is ignored. */
    fun replied(id: StoreCallId, reply: StoreReply, now: Moment) {
        val onReply = callbacks.remove(id) ?: return
        noteReachability(reply != StoreReply.Unavailable, now)
        onReply(reply, now)
    }

    private fun noteReachability(answered: Boolean, now: Moment) {
        if (answered) lastAnswerAt = now
        if (answered == reachable) return
        if (answered) returnedAt = now
        reachable = answered
        effects.add(Effect.StateChanged(StateChange.StoreReachable(answered)))
    }
}
