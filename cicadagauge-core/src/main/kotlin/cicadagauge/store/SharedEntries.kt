package cicadagauge.store

import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PrefixDigest

/**
 * This VM's copy of the store entries under [prefix]. VMs that can't reach the store at present receive them from their
 * peers. Entries from the store and from peers are ordered by the store's eras and revisions.
 */
internal class SharedEntries(val prefix: String) {
    private val entries = LinkedHashMap<StoreKey, StoreEntry>()
    private var adoptedUpTo = StoreRevision.ABSENT

    /** The position of the latest known change. */
    var latest: StorePosition = StorePosition.NONE
        private set

    /** Whether any change is known. */
    val isKnown: Boolean get() = latest != StorePosition.NONE

    /** The digest that peers compare with theirs. */
    val digest: PrefixDigest get() = PrefixDigest(prefix, latest.revision, latest.era)

    /** Whether entries under [key] are exchanged with peers. */
    operator fun contains(key: StoreKey): Boolean = key.value.startsWith(prefix)

    /** Applies [entry] from the store in [era]; false if an update from a peer already covered it. */
    fun applyEntry(entry: StoreEntry, era: StoreEra): Boolean {
        begin(era)
        if (era < latest.era || entry.revision <= adoptedUpTo) return false
        latest = maxOf(latest, StorePosition(era, entry.revision))
        if (entry.value == null) entries -= entry.key else entries[entry.key] = entry
        return true
    }

    /** The update for a VM that knows the changes up to [position], or null where it lacks nothing. */
    fun since(position: StorePosition): PeerMessage.EntriesUpdate? {
        if (position >= latest) return null
        val changed = entries.values.filter { StorePosition(latest.era, it.revision) > position }
        return PeerMessage.EntriesUpdate(prefix, latest.revision, changed, entries.keys.toList(), latest.era)
    }

    /** Applies a peer's [update] and returns the changes in it, removals included; none where it is not newer. */
    fun adopt(update: PeerMessage.EntriesUpdate): List<StoreEntry> {
        if (update.position <= latest) return emptyList()
        begin(update.era)
        val present = update.keys.toSet()
        val deleted = entries.keys.filter { it !in present }.map { StoreEntry(it, null, update.upTo) }
        val changed = update.entries.filter { it.revision > (entries[it.key]?.revision ?: StoreRevision.ABSENT) }
        val changes = deleted + changed
        changes.forEach { applyEntry(it, update.era) }
        latest = update.position
        adoptedUpTo = update.upTo
        return changes
    }

    /**
     * Applies the [change] that a peer has passed on, and returns what is new in it; null where changes before it are
     * not known yet.
     */
    fun adopt(change: PeerMessage.EntriesChanged): List<StoreEntry>? {
        if (latest < change.after) return null
        val era = change.upTo.era
        val new = change.entries.filter { StorePosition(era, it.revision) > latest }
        new.forEach { applyEntry(it, era) }
        if (change.upTo > latest) latest = change.upTo
        if (era == latest.era) adoptedUpTo = maxOf(adoptedUpTo, change.upTo.revision)
        return new
    }

    /** Continues in [era], if that is a new one: revisions known from earlier ones count as lower than all of it. */
    fun begin(era: StoreEra) {
        if (era <= latest.era) return
        latest = StorePosition(era, StoreRevision.ABSENT)
        adoptedUpTo = StoreRevision.ABSENT
        entries.replaceAll { _, entry -> entry.copy(revision = StoreRevision.ABSENT) }
    }

    /** Resets the known revisions, because the store's revisions have started over. */
    fun reset() {
        latest = StorePosition(latest.era, StoreRevision.ABSENT)
        adoptedUpTo = StoreRevision.ABSENT
    }
}
