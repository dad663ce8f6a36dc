package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Timers
import kotlin.time.Duration

/**
 * Passes entries on to [target], but keeps known ones in force while the store, back from an older copy, lacks them or
 * has an older value. Their writers have [grace] to write them again; what is written meanwhile counts at once. Applies
 * to the keys that start with one of [prefixes].
 */
internal class RollbackFilter(
    private val prefixes: List<String>,
    private val grace: Duration,
    private val timers: Timers,
    private val target: StoreListener,
) : StoreListener {
    // Deleted keys have a null value.
    private val known = LinkedHashMap<StoreKey, String?>()
    private val held = HashMap<StoreKey, StoreEntry>()

    override fun snapshot(entries: List<StoreEntry>, now: Moment) {
        entries.forEach(::note)
        target.snapshot(entries, now)
    }

    override fun entryChanged(entry: StoreEntry, now: Moment) {
        note(entry)
        target.entryChanged(entry, now)
    }

    override fun rolledBack(entries: List<StoreEntry>, now: Moment) {
        held.clear()
        val (reverted, others) = entries.partition { it.key in known && known[it.key] != it.value }
        reverted.forEach { held[it.key] = it }
        snapshot(others, now)
        if (reverted.isNotEmpty()) timers.at(now + grace) { release(reverted, it) }
    }

    private fun release(reverted: List<StoreEntry>, now: Moment) {
        reverted.filter { held[it.key] === it }.forEach { entryChanged(it, now) }
    }

    private fun note(entry: StoreEntry) {
        if (prefixes.none { entry.key.value.startsWith(it) }) return
        held -= entry.key
        known -= entry.key
        known[entry.key] = entry.value
        if (known.size > MAX_KEYS) known.entries.firstOrNull { it.value == null }?.let { known -= it.key }
    }

    private companion object {
        /** Above this number of keys the earliest deleted ones are forgotten. */
        const val MAX_KEYS = 20_000
    }
}
