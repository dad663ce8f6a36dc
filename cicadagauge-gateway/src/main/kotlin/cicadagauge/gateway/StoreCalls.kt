package cicadagauge.gateway

import cicadagauge.gateway.control.CancellableCall
import cicadagauge.gateway.environment.PlatformClient
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.store.StoreCallId

/** The node's calls to the store that have no reply yet. Replies are passed to [submit]. */
internal class StoreCalls(private val client: PlatformClient, private val submit: (Event) -> Unit) {
    private val open = HashMap<StoreCallId, CancellableCall>()

    /** Makes the call of [effect]. */
    fun start(effect: Effect.CallStore) {
        var isEnded = false
        val call = client.store(effect.call) { reply, era ->
            isEnded = true
            open -= effect.id
            submit(Event.StoreReplied(effect.id, reply, era))
        }
        if (!isEnded) open[effect.id] = call
    }

    /** Cancels the call [id] if it has no reply yet. */
    fun cancel(id: StoreCallId) {
        open.remove(id)?.cancel()
    }
}
