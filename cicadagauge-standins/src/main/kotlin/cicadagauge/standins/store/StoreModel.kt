/*
 * An in-memory model of the platform's key-value service: compare-and-swap, leases and watches. It reads no clock but
 * is passed the current time, so that it runs behind sockets and in virtual time alike.
 */
package cicadagauge.standins.store

import cicadagauge.identity.Moment
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreLeaseId
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/** The store's entries, leases and pending watches. Not safe for use by several threads. */
public class StoreModel {
    // A deleted key stays with a null value, so that watches report the deletion.
    private val entries = LinkedHashMap<StoreKey, StoreEntry>()
    private val leaseByKey = HashMap<StoreKey, StoreLeaseId>()
    private val leases = HashMap<StoreLeaseId, Lease>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var compactedUpTo = 0L
    private var lastLeaseId = 0L

    /** The present era, which rises with each [comeBackFrom]. */
    public var era: StoreEra = StoreEra.FIRST
        private set

    /** Number of calls handled; a watch counts once, however long it waits. */
    public var calls: Long = 0
        private set

    /** How many of the [calls] were writes, with lease creations and renewals and writes that failed. */
    public var writes: Long = 0
        private set

    /** Handles [call] at [now]. [reply] receives the answer: at once, or later for a watch that waits. */
    public fun handle(call: StoreCall, now: Moment, reply: (StoreReply) -> Unit) {
        calls++
        expire(now)
        when (call) {
            is StoreCall.Get -> reply(StoreReply.Found(entry(call.key)))
            is StoreCall.Put -> reply(put(call))
            is StoreCall.Delete -> reply(delete(call))
            is StoreCall.List -> reply(list(call))
            is StoreCall.Watch -> watch(call, now, reply)
            is StoreCall.CreateLease -> reply(createLease(call, now))
            is StoreCall.RenewLease -> reply(renewLease(call, now))
        }
    }

    /** Deletes what is bound to leases that have lapsed at [now] and answers watches whose wait has ended. */
    public fun expire(now: Moment) {
        val lapsed = leases.filterValues { it.expiresAt <= now }.keys
        leases -= lapsed
        leaseByKey.filterValues { it in lapsed }.keys.toList().forEach(::remove)
        watches.filter { it.expiresAt <= now }.forEach { complete(it) }
    }

    /** When [expire] should be called next; null without leases and watches. */
    public fun nextExpiry(): Moment? = (leases.values.map { it.expiresAt } + watches.map { it.expiresAt }).minOrNull()

    private fun entry(key: StoreKey): StoreEntry =
        entries[key]?.takeIf { it.value != null } ?: StoreEntry(key, null, StoreRevision.ABSENT)

    private fun list(call: StoreCall.List): StoreReply {
        val live = entries.values.filter { it.key.value.startsWith(call.prefix) && it.value != null }
        return StoreReply.Listed(live.sortedBy { it.key.value }, StoreRevision(revision))
    }

    /** Forgets the pending watches, which get no answer any more. */
    public fun dropWatches(): Unit = watches.clear()

    /** Discards the history of changes: a watch from an earlier revision gets [StoreReply.HistoryLost]. */
    public fun compactHistory() {
        compactedUpTo = revision
        entries.values.removeIf { it.value == null }
    }

    /** Returns a copy of all that the store has at [now]. */
    public fun copy(now: Moment): StoreCopy = StoreCopy(
        entries = LinkedHashMap(entries),
        leaseByKey = HashMap(leaseByKey),
        leases = leases.mapValues { (_, lease) -> StoreCopy.CopiedLease(lease.call, lease.expiresAt - now) },
        revision = revision,
        compactedUpTo = compactedUpTo,
        lastLeaseId = lastLeaseId,
    )

    /**
     * Comes back from [copy] at [now], in a new era. What was written since is gone, and its revisions and leases are
     * given out again. Leases of the copy have the time left that they had then. Pending watches get no answer.
     */
    public fun comeBackFrom(copy: StoreCopy, now: Moment) {
        era = StoreEra(era.value + 1)
        watches.clear()
        entries.clear()
        entries += copy.entries
        leaseByKey.clear()
        leaseByKey += copy.leaseByKey
        leases.clear()
        copy.leases.forEach { (id, lease) -> leases[id] = Lease(lease.call, now + lease.timeLeft) }
        revision = copy.revision
        compactedUpTo = copy.compactedUpTo
        lastLeaseId = copy.lastLeaseId
    }

    private fun put(call: StoreCall.Put): StoreReply {
        writes++
        val current = entry(call.key)
        if (current.revision != call.expect) return StoreReply.Conflict(current)
        val lease = call.lease
        if (lease != null && lease !in leases) return StoreReply.LeaseLapsed
        if (lease == null) leaseByKey -= call.key else leaseByKey[call.key] = lease
        return StoreReply.Written(commit(call.key, call.value))
    }

    private fun delete(call: StoreCall.Delete): StoreReply {
        writes++
        val current = entry(call.key)
        if (current.revision != call.expect) return StoreReply.Conflict(current)
        return StoreReply.Written(remove(call.key))
    }

    private fun remove(key: StoreKey): StoreRevision {
        leaseByKey -= key
        return commit(key, null)
    }

    private fun commit(key: StoreKey, value: String?): StoreRevision {
        revision++
        entries[key] = StoreEntry(key, value, StoreRevision(revision))
        watches.filter { key.value.startsWith(it.call.prefix) }.forEach { complete(it) }
        return StoreRevision(revision)
    }

    private fun watch(call: StoreCall.Watch, now: Moment, reply: (StoreReply) -> Unit) {
        if (call.after.value !in compactedUpTo..revision) return reply(StoreReply.HistoryLost)
        val watch = Watch(call, now + call.wait, reply)
        watches += watch
        if (changesFor(call).isNotEmpty() || !call.wait.isPositive()) complete(watch)
    }

    private fun complete(watch: Watch) {
        if (watches.remove(watch)) watch.reply(StoreReply.Changes(changesFor(watch.call), StoreRevision(revision)))
    }

    private fun changesFor(call: StoreCall.Watch): List<StoreEntry> = entries.values.filter {
        it.key.value.startsWith(call.prefix) && it.revision > call.after
    }.sortedBy { it.revision }

    private fun createLease(call: StoreCall.CreateLease, now: Moment): StoreReply {
        writes++
        val id = StoreLeaseId(++lastLeaseId)
        leases[id] = Lease(call, now + call.ttl)
        return StoreReply.LeaseHeld(id)
    }

    private fun renewLease(call: StoreCall.RenewLease, now: Moment): StoreReply {
        writes++
        val lease = leases[call.lease] ?: return StoreReply.LeaseLapsed
        lease.expiresAt = now + lease.call.ttl
        return StoreReply.LeaseHeld(call.lease)
    }

    private class Lease(val call: StoreCall.CreateLease, var expiresAt: Moment)

    private class Watch(val call: StoreCall.Watch, val expiresAt: Moment, val reply: (StoreReply) -> Unit)
}
