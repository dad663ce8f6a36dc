package cicadagauge.routing

import cicadagauge.identity.PoolName
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.peer.RecordDigest

/** The newest ownership record of each pool that this VM knows. An older one never replaces a newer one. */
internal class OwnerDirectory {
    private val tables = HashMap<PoolName, OwnerTable>()

    /** The owners of [pool], or null where none are known yet. */
    operator fun get(pool: PoolName): OwnerTable? = tables[pool]

    /** Takes [record] in if it is newer; returns how many slots moved, or null where it was not. */
    fun adopt(record: OwnershipRecord): Int? {
        val known = tables[record.pool]
        if (!record.replaces(known?.record)) return null
        val table = OwnerTable(record)
        tables[record.pool] = table
        return if (known == null || known.record.slots != record.slots) record.slots else table.movedSince(known)
    }

    /** All records that are known. */
    fun records(): List<OwnershipRecord> = tables.values.map { it.record }

    /** What this VM has, for its peers. */
    fun digest(): List<RecordDigest> = tables.values.map {
        RecordDigest(it.record.pool, it.record.term, it.record.version)
    }
}
