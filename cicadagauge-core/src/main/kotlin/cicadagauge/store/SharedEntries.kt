package cicadagauge.store

import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PrefixDigest

/**
 * This VM's copy of the store entries under [prefix]. VMs that can't reach the store at present receive them from their
 * peers. Entries from the store and from peers are ordered by the store's revisions.
 */
internal class SharedEntries(val prefix: String) {
    private val entries = LinkedHashMap<StoreKey, StoreEntry>()
    private var adoptedUpTo = StoreRevision.ABSENT

    /** The revision of the latest known change. */
    var latest: StoreRevision = StoreRevision.ABSENT
        private set

    /** The digest that peers compare with theirs. */
    val digest: PrefixDigest get() = PrefixDigest(prefix, latest)

    /** Whether entries under [key] are exchanged with peers. */
    operator fun contains(key: StoreKey): Boolean = key.value.startsWith(prefix)

    /** Applies [entry] from the store; false if an update from a peer already covered its revision. */
    fun applyEntry(entry: StoreEntry): Boolean {
        if (entry.revision <= adoptedUpTo) return false
        latest = maxOf(latest, entry.revision)
        if (entry.value == null) entries -= entry.key else entries[entry.key] = entry
        return true
    }

    /** The update for a VM that knows the changes up to [revision], or null where it lacks nothing. */
    fun since(revision: StoreRevision): PeerMessage.EntriesUpdate? {
        if (revision >= latest) return null
        val changed = entries.values.filter { it.revision > revision }
        return PeerMessage.EntriesUpdate(prefix, latest, changed, entries.keys.toList())
    }

    /** Applies a peer's [update] and returns the changes in it, removals included; none where it is not newer. */
    fun adopt(update: PeerMessage.EntriesUpdate): List<StoreEntry> {
        if (update.upTo <= latest) return emptyList()
        val present = update.keys.toSet()
        val deleted = entries.keys.filter { it !in present }.map { StoreEntry(it, null, update.upTo) }
        val changed = update.entries.filter { it.revision > (entries[it.key]?.revision ?: StoreRevision.ABSENT) }
        val changes = deleted + changed
        changes.forEach(::applyEntry)
        latest = update.upTo
        adoptedUpTo = update.upTo
        return changes
    }

    /**
     * Applies the [change] that a peer has passed on, and returns what is new in it; null where changes before it are
     * not known yet.
     */
    fun adopt(change: PeerMessage.EntriesChanged): List<StoreEntry>? {
        if (latest < change.after) return null
        val new = change.entries.filter { it.revision > latest }
        new.forEach(::applyEntry)
        latest = maxOf(latest, change.upTo)
        adoptedUpTo = maxOf(adoptedUpTo, change.upTo)
        return new
    }

    /** Resets the known revisions, because the store's revisions have started over. */
    fun reset() {
        latest = StoreRevision.ABSENT
        adoptedUpTo = StoreRevision.ABSENT
    }
}
