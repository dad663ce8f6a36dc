package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.membership.Watchers
import cicadagauge.node.DisseminationSettings
import cicadagauge.node.Timers
import kotlin.time.Duration

/** Learns what changes in the store. */
internal interface StoreListener {
    /** The whole content of the store was read. */
    fun snapshot(entries: List<StoreEntry>, now: Moment)

    /** One value has changed. */
    fun changed(entry: StoreEntry, now: Moment)
}

/** Reads the store once at the start and watches it while this VM is one of the [watchers]. */
internal class StoreWatcher(
    private val store: StoreClient,
    private val watchers: Watchers,
    private val settings: DisseminationSettings,
    private val timers: Timers,
    private val listener: StoreListener,
) {
    private var revision = StoreRevision.ABSENT
    private var read = false

    /** Begins to read and to watch. */
    fun start(now: Moment) {
        when {
            !read -> call(Duration.ZERO)
            watchers.isSelf() -> call(settings.watchWait)
            else -> retry(now)
        }
    }

    private fun call(wait: Duration) {
        store.call(StoreCall.Watch(prefix = "", after = revision, wait = wait)) { reply, now ->
            if (reply is StoreReply.Changes) take(reply, now) else retry(now)
        }
    }

    private fun take(changes: StoreReply.Changes, now: Moment) {
        val whole = !read || changes.upTo < revision
        read = true
        revision = changes.upTo
        if (whole) listener.snapshot(changes.entries, now) else changes.entries.forEach { listener.changed(it, now) }
        start(now)
    }

    private fun retry(now: Moment) {
        timers.at(now + settings.watchRetry, ::start)
    }
}
