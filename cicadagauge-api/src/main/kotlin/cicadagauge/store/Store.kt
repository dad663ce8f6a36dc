/*
 * Calls on the platform's key-value service. The core issues calls and receives replies as events; an I/O
 * adapter carries them. A reply that never comes says nothing about whether a write took effect.
 */
package cicadagauge.store

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Names one value in the platform store. */
@JvmInline
@Serializable
public value class StoreKey(public val value: String) {
    override fun toString(): String = value
}

/** The revision of one value; it rises with each write of any value. */
@JvmInline
@Serializable
public value class StoreRevision(public val value: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)

    public companion object {
        /** The revision of a value that does not exist. */
        public val ABSENT: StoreRevision = StoreRevision(0)
    }
}

/** Identifies a lease of the platform store. */
@JvmInline
public value class StoreLeaseId(public val value: Long)

/** Pairs a call with its reply. */
@JvmInline
public value class StoreCallId(public val value: Long)

/** One call on the platform store. */
public sealed interface StoreCall {
    /** Reads the value of [key]. */
    public data class Get(val key: StoreKey) : StoreCall

    /** Writes [value] if [key] is still at revision [expect]; the value goes when [lease], if given, lapses. */
    public data class Put(
        val key: StoreKey,
        val value: String,
        val expect: StoreRevision,
        val lease: StoreLeaseId? = null,
    ) : StoreCall

    /** Deletes [key] if it is still at revision [expect]. */
    public data class Delete(val key: StoreKey, val expect: StoreRevision) : StoreCall

    /** Reads every value whose key begins with [prefix]. */
    public data class List(val prefix: String) : StoreCall

    /** Waits up to [wait] for changes after revision [after] of values whose key begins with [prefix]. */
    public data class Watch(val prefix: String, val after: StoreRevision, val wait: Duration) : StoreCall

    /** Makes a lease that lapses [ttl] after its last renewal, on the store's clock. */
    public data class CreateLease(val ttl: Duration) : StoreCall

    /** Renews [lease]. */
    public data class RenewLease(val lease: StoreLeaseId) : StoreCall
}

/** One value with its revision; [value] is null where the key does not exist. */
@Serializable
public data class StoreEntry(val key: StoreKey, val value: String?, val revision: StoreRevision)

/** The store's answer to a [StoreCall]. */
public sealed interface StoreReply {
    /** The answer to a read. */
    public data class Found(val entry: StoreEntry) : StoreReply

    /** A write or deletion took effect at [revision]. */
    public data class Written(val revision: StoreRevision) : StoreReply

    /** The key was not at the expected revision; [current] is what it holds. */
    public data class Conflict(val current: StoreEntry) : StoreReply

    /** All values under a prefix, none older than [upTo]. */
    public data class Listed(val entries: List<StoreEntry>, val upTo: StoreRevision) : StoreReply

    /** The changes that a watch asked for are no longer known: list again. */
    public data object HistoryLost : StoreReply

    /** What changed since the watch's revision, up to [upTo]; empty where the wait ran out. */
    public data class Changes(val entries: List<StoreEntry>, val upTo: StoreRevision) : StoreReply

    /** A lease was made or renewed. */
    public data class LeaseHeld(val lease: StoreLeaseId) : StoreReply

    /** The lease has lapsed or never was. */
    public data object LeaseLapsed : StoreReply

    /** No answer came in time, or the connection broke. A write may or may not have taken effect. */
    public data object Unavailable : StoreReply
}
