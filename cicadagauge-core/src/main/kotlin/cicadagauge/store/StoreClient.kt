package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange

/** Issues store calls and passes each reply to its caller. */
internal class StoreClient(private val effects: Effects) {
    private val callbacks = HashMap<StoreCallId, (StoreReply, Moment) -> Unit>()
    private val returnListeners = ArrayList<(Moment) -> Unit>()
    private val answerListeners = ArrayList<(Moment) -> Unit>()
    private var nextId = 1L

    /** Whether the store has answered the last call that ended. */
    var isReachable: Boolean = true
        private set

    /** When the store last answered any call. */
    var lastAnswerAt: Moment = Moment.PAST
        private set

    /** When the store last became reachable again; [Moment.PAST] where it always was. */
    var returnedAt: Moment = Moment.PAST
        private set

    /**
     * Calls [listener] with the current time whenever the store answers again after a call without an answer, once that
     * answer has been handled.
     */
    fun onReturn(listener: (Moment) -> Unit) {
        returnListeners += listener
    }

    /** Calls [listener] with the current time whenever the store has answered, once that answer has been handled. */
    fun onAnswer(listener: (Moment) -> Unit) {
        answerListeners += listener
    }

    /**
     * Issues [call]; [onReply] is called once with the reply and the time of its receipt, unless the call is cancelled.
     */
    fun call(call: StoreCall, onReply: (StoreReply, Moment) -> Unit): StoreCallId {
        val id = StoreCallId(nextId++)
        callbacks[id] = onReply
        effects.add(Effect.CallStore(id, call))
        return id
    }

    /** Gives up call [id]; has no effect where it has been answered. */
    fun cancel(id: StoreCallId) {
        if (callbacks.remove(id) != null) effects.add(Effect.CancelStoreCall(id))
    }

    /** Handles the reply to call [id]; a second reply is ignored. */
    fun replied(id: StoreCallId, reply: StoreReply, now: Moment) {
        val onReply = callbacks.remove(id) ?: return
        val hasReturned = noteReachability(reply != StoreReply.Unavailable, now)
        onReply(reply, now)
        if (hasReturned) returnListeners.forEach { it(now) }
        if (reply != StoreReply.Unavailable) answerListeners.forEach { it(now) }
    }

    /** Records whether the store has [answered]; true if it does again after a call without an answer. */
    private fun noteReachability(answered: Boolean, now: Moment): Boolean {
        if (answered) lastAnswerAt = now
        if (answered == isReachable) return false
        isReachable = answered
        if (answered) returnedAt = now
        effects.add(Effect.StateChanged(StateChange.StoreReachable(answered)))
        return answered
    }
}
