package cicadagauge.routing

import cicadagauge.identity.PoolName
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.peer.RecordDigest

/** The newest ownership record that this VM knows of each pool. An older record never replaces a newer one. */
internal class OwnerDirectory {
    private val tables = HashMap<PoolName, OwnerTable>()

    /** The owners of [pool], or null if no record is known yet. */
    operator fun get(pool: PoolName): OwnerTable? = tables[pool]

    /**
     * Replaces the known record of the pool with [record] if that is newer. Returns the number of slots that changed
     * owner (all, if none was known or the number of slots differs), or null if [record] is not newer.
     */
    fun adopt(record: OwnershipRecord): Int? {
        val known = tables[record.pool]
        if (!record.replaces(known?.record)) return null
        val table = OwnerTable(record)
        tables[record.pool] = table
        return if (known == null || known.record.slots != record.slots) record.slots else table.movedSlotCount(known)
    }

    /** All known records. */
    fun records(): List<OwnershipRecord> = tables.values.map { it.record }

    /** The versions of all known records, for comparison by peers. */
    fun digest(): List<RecordDigest> = tables.values.map {
        RecordDigest(it.record.pool, it.record.term, it.record.version)
    }
}
