package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.OwnershipSettings
import cicadagauge.store.RecordCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision

/**
 * Writes the record under [key] for the allocator of a pool, on condition that nobody else has changed it.
 *
 * @param settings the delay before a write without an answer is repeated
 * @param isActive whether the allocator still runs
 * @param isStoreOut whether the store has not answered for so long that writes are given up
 * @param onSuperseded called when the holder of a higher term has written the record, or it can't be read
 */
internal class RecordWriter(
    private val key: StoreKey,
    private val codec: RecordCodec,
    private val calls: EraCalls,
    private val settings: OwnershipSettings,
    private val isActive: () -> Boolean,
    private val isStoreOut: (Moment) -> Boolean,
    private val onSuperseded: (Moment) -> Unit,
) {
    private var revision = StoreRevision.ABSENT

    /** The record that this VM's allocator stored last, or null. */
    var lastWritten: OwnershipRecord? = null
        private set

    /** Begins a term with [record], which was stored at [at]. */
    fun begin(record: OwnershipRecord, at: StoreRevision) {
        lastWritten = record
        revision = at
    }

    /** Continues a term whose record is stored at [at]. */
    fun resume(at: StoreRevision) {
        revision = at
    }

    /** Writes [record]; see [AllocatorContext.write]. */
    fun write(record: OwnershipRecord, onResult: (saved: Boolean, now: Moment) -> Unit) {
        calls.call(StoreCall.Put(key, codec.encode(record), revision)) { reply, now ->
            when (reply) {
                is StoreReply.Written -> {
                    begin(record, reply.revision)
                    onResult(true, now)
                }
                is StoreReply.Conflict -> handleConflict(record, reply, onResult, now)
                else -> retry(record, onResult, now)
            }
        }
    }

    /**
     * Handles a changed revision of the record's key: by a write of this VM whose answer was lost, or by the holder of
     * a higher term.
     */
    private fun handleConflict(
        record: OwnershipRecord,
        reply: StoreReply.Conflict,
        onResult: (Boolean, Moment) -> Unit,
        now: Moment,
    ) {
        val stored = reply.current.value?.let { codec.decode(it).getOrNull() }
        if (stored == null || stored.term > record.term) return onSuperseded(now)
        revision = reply.current.revision
        if (stored.version < record.version) return write(record, onResult)
        lastWritten = stored
        onResult(true, now)
    }

    private fun retry(record: OwnershipRecord, onResult: (Boolean, Moment) -> Unit, now: Moment) {
        if (!isActive()) return
        if (isStoreOut(now)) return onResult(false, now)
        calls.at(now + settings.storeRetry) { write(record, onResult) }
    }
}
