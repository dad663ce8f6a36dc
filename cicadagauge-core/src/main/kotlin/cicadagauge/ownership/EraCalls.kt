package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreReply

/** Store calls and timers that belong to one era of the store: what was begun in an earlier one is not continued. */
internal class EraCalls(private val store: StoreClient, private val timers: Timers) {
    private var eraCount = 0

    /** Drops the replies and timers that are still to come. */
    fun eraChanged() {
        eraCount++
    }

    /** Makes [call]; [onReply] receives the reply, unless the era changes before. */
    fun call(call: StoreCall, onReply: (StoreReply, Moment) -> Unit) {
        val began = eraCount
        store.call(call) { reply, now -> if (eraCount == began) onReply(reply, now) }
    }

    /** Calls [action] at [moment], unless the era changes before. */
    fun at(moment: Moment, action: (Moment) -> Unit) {
        val began = eraCount
        timers.at(moment) { if (eraCount == began) action(it) }
    }
}
