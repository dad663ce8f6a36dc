package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.OwnershipSettings
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/**
 * Deletes the [key] of a duty that this VM does not take or continue. The key would keep every other VM from taking the
 * duty for as long as this VM renews its lease, so the deletion is repeated until the store has answered.
 */
internal class DutyKeyRelease(
    private val key: StoreKey,
    private val calls: EraCalls,
    private val settings: OwnershipSettings,
) {
    /** Whether a deletion has begun that the store has not answered. */
    var isRunning: Boolean = false
        private set

    /** Deletes the key if it is unchanged since [revision]; calls [onReleased] when the store has answered. */
    fun begin(revision: StoreRevision, onReleased: (Moment) -> Unit) {
        isRunning = true
        calls.call(StoreCall.Delete(key, revision)) { reply, now ->
            if (reply == StoreReply.Unavailable) {
                calls.at(now + settings.storeRetry) { begin(revision, onReleased) }
            } else {
                isRunning = false
                onReleased(now)
            }
        }
    }

    /** Ends a deletion of an earlier era of the store, whose revisions may be those of other keys now. */
    fun eraChanged() {
        isRunning = false
    }
}
