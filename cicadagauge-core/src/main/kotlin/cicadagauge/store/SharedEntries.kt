package cicadagauge.store

import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PrefixDigest

/**
 * The entries under [prefix] as this VM knows them, for VMs that the store turns away at present: they learn from their
 * peers what they can't read themselves. What the store said and what peers said is ordered by the store's revisions.
 */
internal class SharedEntries(val prefix: String) {
    private val entries = LinkedHashMap<StoreKey, StoreEntry>()
    private var adoptedUpTo = StoreRevision.ABSENT

    /** The revision of the latest change that is known. */
    var latest: StoreRevision = StoreRevision.ABSENT
        private set

    /** What peers compare with theirs. */
    val digest: PrefixDigest get() = PrefixDigest(prefix, latest)

    /** Whether [key] is one of those that are passed on. */
    operator fun contains(key: StoreKey): Boolean = key.value.startsWith(prefix)

    /** Takes [entry] in; false where a peer has already told this VM of it, or of something later. */
    fun take(entry: StoreEntry): Boolean {
        if (entry.revision <= adoptedUpTo) return false
        latest = maxOf(latest, entry.revision)
        if (entry.value == null) entries -= entry.key else entries[entry.key] = entry
        return true
    }

    /** What a VM that knows changes up to [revision] lacks, or null where it lacks nothing. */
    fun since(revision: StoreRevision): PeerMessage.EntriesUpdate? {
        if (revision >= latest) return null
        val changed = entries.values.filter { it.revision > revision }
        return PeerMessage.EntriesUpdate(prefix, latest, changed, entries.keys.toList())
    }

    /** The changes that [update] of a peer brings, removals included; none where it brings nothing new. */
    fun adopt(update: PeerMessage.EntriesUpdate): List<StoreEntry> {
        if (update.upTo <= latest) return emptyList()
        val present = update.keys.toSet()
        val gone = entries.keys.filter { it !in present }.map { StoreEntry(it, null, update.upTo) }
        val changed = update.entries.filter { it.revision > (entries[it.key]?.revision ?: StoreRevision.ABSENT) }
        val news = gone + changed
        news.forEach(::take)
        latest = update.upTo
        adoptedUpTo = update.upTo
        return news
    }

    /** Forgets what peers said: the store counts its revisions anew. */
    fun forget() {
        latest = StoreRevision.ABSENT
        adoptedUpTo = StoreRevision.ABSENT
    }
}
