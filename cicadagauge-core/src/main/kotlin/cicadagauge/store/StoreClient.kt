package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange

/**
 * Issues store calls and passes each reply to its caller. A reply that doesn't belong to the present era of the store,
 * or whose call was sent in an earlier one, is passed on as [StoreReply.Unavailable]: what it says need not hold any
 * more.
 */
internal class StoreClient(private val effects: Effects) {
    private val openCalls = HashMap<StoreCallId, OpenCall>()
    private val returnListeners = ArrayList<(Moment) -> Unit>()
    private val answerListeners = ArrayList<(Moment) -> Unit>()
    private val eraListeners = ArrayList<(StoreEra, Moment) -> Unit>()
    private var knownEra: StoreEra? = null
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

    /** The latest era of the store that this VM knows. */
    val era: StoreEra get() = knownEra ?: StoreEra.FIRST

    /** Calls [listener] once for each new era, with the era before it and the current time. */
    fun onNewEra(listener: (previous: StoreEra, now: Moment) -> Unit) {
        eraListeners += listener
    }

    /** Notes that the store has reached era [seen]; an earlier one than is known changes nothing. */
    fun noteEra(seen: StoreEra, now: Moment) {
        val previous = knownEra
        if (seen <= era) return
        knownEra = seen
        if (previous != null) eraListeners.forEach { it(previous, now) }
    }

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
        openCalls[id] = OpenCall(knownEra, onReply)
        effects.add(Effect.CallStore(id, call))
        return id
    }

    /** Gives up call [id]; has no effect where it has been answered. */
    fun cancel(id: StoreCallId) {
        if (openCalls.remove(id) != null) effects.add(Effect.CancelStoreCall(id))
    }

    /** Handles the reply to call [id], which tells [replyEra] if that is not null; a second reply is ignored. */
    fun replied(id: StoreCallId, reply: StoreReply, now: Moment, replyEra: StoreEra? = null) {
        if (replyEra != null) noteEra(replyEra, now)
        if (reply != StoreReply.Unavailable || replyEra != null) knownEra = knownEra ?: replyEra ?: StoreEra.FIRST
        val call = openCalls.remove(id) ?: return
        if (replyEra != null && replyEra < era) return call.onReply(StoreReply.Unavailable, now)
        val hasReturned = noteReachability(reply != StoreReply.Unavailable, now)
        val isOfThisEra = call.era == null || call.era == knownEra
        call.onReply(if (isOfThisEra) reply else StoreReply.Unavailable, now)
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

    /** A call without a reply, sent when [era] was the known one; null before the first reply. */
    private class OpenCall(val era: StoreEra?, val onReply: (StoreReply, Moment) -> Unit)
}
