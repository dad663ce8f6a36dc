package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.membership.Watchers
import cicadagauge.node.DisseminationSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.node.WatchResult
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives the entries that a [StoreWatcher] reads and their changes. */
internal interface StoreListener {
    /** All entries under the prefix were read; [entries] omits those already known from peers. */
    fun snapshot(entries: List<StoreEntry>, now: Moment)

    /** One entry has changed; its value is null where the key was deleted. */
    fun entryChanged(entry: StoreEntry, now: Moment)

    /**
     * The store has come back from an older copy, in which it has [entries]; a value is null where a key that was known
     * is missing.
     */
    fun rolledBack(entries: List<StoreEntry>, now: Moment): Unit = snapshot(entries, now)
}

/** Decides whether this VM reads the store itself, and passes on what is read there. */
internal interface ReadingPolicy {
    /** Whether this VM reads the store's changes at present. */
    val isReading: Boolean

    /** Whether other VMs have told this one recently what they have read. */
    fun isInformed(now: Moment): Boolean

    /** The entries in [change] have changed, as the store or a peer has reported. */
    fun changed(change: PeerMessage.EntriesChanged, now: Moment)

    /** All entries were read; the changes in between are not known one by one. */
    fun listed(now: Moment)
}

/**
 * Reads the entries under [prefix] once at the start and watches them while this VM is one of the [watchers]. Where the
 * store no longer has the history since the last reply, all entries are read again, and missing ones count as deleted.
 * Entries in [shared] may also be received from peers. With a [policy], it decides instead of the [watchers], and also
 * about reading at the start unless [listsAtStart].
 */
internal class StoreWatcher(
    private val prefix: String,
    private val store: StoreClient,
    private val watchers: Watchers,
    private val settings: DisseminationSettings,
    private val timers: Timers,
    private val listener: StoreListener,
    private val effects: Effects,
    val shared: SharedEntries? = null,
    private val policy: ReadingPolicy? = null,
    private val listsAtStart: Boolean = true,
) {
    private val known = HashSet<StoreKey>()
    private var revision = StoreRevision.ABSENT
    private var listedEra = StoreEra.FIRST

    /** Whether all entries under the prefix were read at least once. */
    var isRead: Boolean = false
        private set

    private var isUpToDate = false
    private var isConfirmed = false
    private var isIdle = false
    private var pendingWatch: PendingWatch? = null

    init {
        store.onReturn { now -> pendingWatch?.takeIf { it.sentAt < now }?.let { renew(it, now) } }
    }

    /** Applies a peer's update and reports the changes in it to the listener. */
    fun adopt(update: PeerMessage.EntriesUpdate, now: Moment) {
        val entries = shared?.takeIf { it.prefix == update.prefix } ?: return
        val before = entries.latest
        val isRolledBack = entries.isKnown && update.era > before.era
        val changes = entries.adopt(update)
        if (!isRolledBack) return report(before, changes, now)
        changes.forEach(::noteKnown)
        listener.rolledBack(changes, now)
        policy?.listed(now)
    }

    /**
     * Applies the changes that a peer has passed on and reports them to the listener. Returns false if earlier ones are
     * missing.
     */
    fun adopt(change: PeerMessage.EntriesChanged, now: Moment): Boolean {
        val entries = shared?.takeIf { it.prefix == change.prefix } ?: return true
        val before = entries.latest
        report(before, entries.adopt(change) ?: return false, now)
        return true
    }

    /** Notes that peers which read the store know no more about the prefix than this VM does. */
    fun confirmCurrent() {
        isRead = true
    }

    /**
     * Whether this VM reads the changes and has missed none: the last read has succeeded, or a watch has been pending
     * for so long that the store would have answered it if there were any.
     */
    fun isCurrent(now: Moment): Boolean {
        val hasWaited = pendingWatch?.let { it.sentAt + CONFIRMATION_TIME <= now } ?: false
        return isUpToDate && (isConfirmed || hasWaited)
    }

    /** Reads all entries again, because the store is in another era. */
    fun eraChanged(now: Moment) {
        isUpToDate = false
        pendingWatch?.let { endWatch(it, WatchResult.HistoryLost, now) }
    }

    /** Starts, or continues, to read and watch the prefix. */
    fun start(now: Moment) {
        isIdle = !isNeeded()
        if (isIdle) isConfirmed = false
        when {
            isIdle -> timers.at(now + settings.watchRetry) { if (isIdle) start(it) }
            !isUpToDate -> list()
            else -> watch(sentAt = now)
        }
    }

    /** Begins or ends to read after the decision of the policy has changed. */
    fun policyChanged(now: Moment) {
        val watch = pendingWatch
        when {
            isIdle && isNeeded() -> start(now)
            watch != null && !isNeeded() -> endWatch(watch, WatchResult.Renewed, now)
        }
    }

    private fun isNeeded(): Boolean = when {
        policy == null -> !isUpToDate || watchers.includesSelf()
        listsAtStart && !isUpToDate -> true
        else -> policy.isReading
    }

    /**
     * Replaces the pending watch, because a peer knows something that the store should have reported. A watch that was
     * sent within [DisseminationSettings.shortWatchWait] is left, so that repeated signs cost few calls.
     */
    fun changesMissed(now: Moment) {
        val watch = pendingWatch ?: return
        if (watch.sentAt + settings.shortWatchWait <= now) renew(watch, now)
    }

    /** Replaces a watch that waits long where this VM has become the one whose watches don't. */
    fun rankChanged(now: Moment) {
        if (watchers.isSelfFirst()) changesMissed(now)
    }

    private fun list() {
        store.call(StoreCall.List(prefix)) { reply, now ->
            isConfirmed = reply is StoreReply.Listed
            if (reply is StoreReply.Listed) listed(reply, now) else timers.at(now + retryDelay(now), ::start)
        }
    }

    private fun listed(reply: StoreReply.Listed, now: Moment) {
        val isRolledBack = isBehind()
        shared?.begin(store.era)
        if (shared != null && reply.upTo < shared.latest.revision) shared.reset()
        val present = reply.entries.map { it.key }.toSet()
        val deleted = known.filter { it !in present }
        isRead = true
        isUpToDate = true
        revision = reply.upTo
        listedEra = store.era
        known.clear()
        known += present
        val changed = reply.entries.filter(::applyIfNew)
        val removed = deleted.map { StoreEntry(it, null, reply.upTo) }.filter(::applyIfNew)
        if (isRolledBack) {
            listener.rolledBack(changed + removed, now)
        } else {
            listener.snapshot(changed, now)
            removed.forEach { listener.entryChanged(it, now) }
        }
        policy?.listed(now)
        start(now)
    }

    /** Whether what is known here is of an earlier era of the store. */
    private fun isBehind(): Boolean =
        if (shared == null) isRead && listedEra < store.era else shared.isKnown && shared.latest.era < store.era

    private fun watch(sentAt: Moment) {
        val wait = if (expectsLoss(sentAt)) settings.shortWatchWait else settings.watchWait
        // A peer's changes cover the whole prefix only where all of it is shared.
        val position = shared?.takeIf { it.prefix == prefix }?.latest
        if (position != null && position.era == listedEra) revision = maxOf(revision, position.revision)
        val call = StoreCall.Watch(prefix, after = revision, wait = wait)
        val id = store.call(call) { reply, now ->
            pendingWatch = null
            isConfirmed = reply is StoreReply.Changes
            reportEnd(resultOf(reply), waited = now - sentAt)
            when (reply) {
                is StoreReply.Changes -> applyChanges(reply, now)
                StoreReply.HistoryLost -> listAgain(now)
                else -> timers.at(now + retryDelay(now), ::start)
            }
        }
        val watch = PendingWatch(id, sentAt)
        pendingWatch = watch
        if (wait > settings.shortWatchWait) scheduleCheck(watch, sentAt)
    }

    /** A read that failed is repeated later where the changes are known from peers. */
    private fun retryDelay(now: Moment): Duration =
        if (policy?.isInformed(now) == true) settings.informedWatchRetry else settings.watchRetry

    /**
     * Whether a watch sent at [now] is not to wait long, because a lost watch looks like one without changes until its
     * wait ends: for a while after the store has failed to answer, and always on one VM of the fleet.
     */
    private fun expectsLoss(now: Moment): Boolean =
        watchers.isSelfFirst() || now < store.returnedAt + settings.shortWatchPeriod

    /** Replaces [watch] if this VM has become the one whose watches don't wait long. */
    private fun scheduleCheck(watch: PendingWatch, now: Moment) {
        timers.at(now + settings.shortWatchWait) { moment ->
            if (pendingWatch != watch) return@at
            if (watchers.isSelfFirst()) renew(watch, moment) else scheduleCheck(watch, moment)
        }
    }

    /**
     * Replaces a watch that may have been sent while the store was unavailable: the store answers new calls, but never
     * one that it lost, and a lost watch looks like one without changes until its waiting time is over.
     */
    private fun renew(watch: PendingWatch, now: Moment) {
        val renewableAt = watch.sentAt + settings.minWatchRenewalInterval
        if (now < renewableAt) return timers.at(renewableAt) { if (pendingWatch == watch) renew(watch, it) }
        endWatch(watch, WatchResult.Renewed, now)
    }

    /** Cancels [watch], and sends another one if it is needed. */
    private fun endWatch(watch: PendingWatch, result: WatchResult, now: Moment) {
        store.cancel(watch.id)
        pendingWatch = null
        reportEnd(result, waited = now - watch.sentAt)
        start(now)
    }

    private fun resultOf(reply: StoreReply): WatchResult = when (reply) {
        is StoreReply.Changes -> WatchResult.Reported(reply.entries.size, reply.upTo)
        StoreReply.HistoryLost -> WatchResult.HistoryLost
        else -> WatchResult.Unanswered
    }

    private fun reportEnd(result: WatchResult, waited: Duration) {
        effects.add(Effect.StateChanged(StateChange.WatchEnded(prefix, result, waited)))
    }

    private fun applyChanges(changes: StoreReply.Changes, now: Moment) {
        if (changes.upTo < revision) return listAgain(now)
        revision = changes.upTo
        val before = shared?.latest
        val new = changes.entries.filter(::applyIfNew)
        if (before == null) new.forEach { deliver(it, now) } else report(before, new, now)
        if (changes.entries.isEmpty()) start(now) else timers.at(now + settings.watchPause, ::start)
    }

    /** Applies [entry] to [shared]; false if an update from a peer already covered it. */
    private fun applyIfNew(entry: StoreEntry): Boolean =
        shared == null || entry.key !in shared || shared.applyEntry(entry, store.era)

    /** Delivers the [changes] that are new since position [before], and has those in [shared] passed on. */
    private fun report(before: StorePosition, changes: List<StoreEntry>, now: Moment) {
        changes.forEach { deliver(it, now) }
        val passedOn = changes.filter { shared != null && it.key in shared }
        if (shared == null || passedOn.isEmpty()) return
        // Differences between eras are not passed on one by one: what was deleted is not among them.
        if (before.era != shared.latest.era) return policy?.listed(now) ?: Unit
        policy?.changed(PeerMessage.EntriesChanged(shared.prefix, before, shared.latest, passedOn), now)
    }

    private fun deliver(entry: StoreEntry, now: Moment) {
        noteKnown(entry)
        listener.entryChanged(entry, now)
    }

    private fun noteKnown(entry: StoreEntry) {
        if (entry.value == null) known -= entry.key else known += entry.key
    }

    private fun listAgain(now: Moment) {
        isUpToDate = false
        start(now)
    }

    private class PendingWatch(val id: StoreCallId, val sentAt: Moment)

    private companion object {
        val CONFIRMATION_TIME: Duration = 250.milliseconds
    }
}
