package cicadagauge.node

import cicadagauge.store.StoreRevision

/** How a watch of the platform store ended. */
public sealed interface WatchResult {
    /** The store reported [changes] changes, up to revision [upTo]; 0 if nothing changed within the waiting time. */
    public data class Reported(val changes: Int, val upTo: StoreRevision) : WatchResult

    /** The store no longer has the history that the watch asked for. */
    public data object HistoryLost : WatchResult

    /** The VM gave the watch up and sent another, because the store had been unavailable meanwhile. */
    public data object Renewed : WatchResult

    /** No answer arrived in time, or the connection broke. */
    public data object Unanswered : WatchResult
}
