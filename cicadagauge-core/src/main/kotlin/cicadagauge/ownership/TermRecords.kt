package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.membership.VmDirectory
import cicadagauge.store.StoreClient

/** The ownership records with which this VM begins a term. */
internal class TermRecords(
    private val vms: VmDirectory,
    private val store: StoreClient,
    private val earlierEras: EarlierEras,
) {
    /** The record of the term after that of [base], or of the first one of [pool], which [declaration] contains. */
    fun next(base: OwnershipRecord?, pool: Pool, declaration: Declaration): OwnershipRecord {
        val record = base?.let(::successor) ?: first(pool, declaration)
        if (!earlierEras.isUnsettled(base)) return record
        return record.copy(isUnsettled = true, predecessors = record.predecessors + vms.peers.map { it.id })
    }

    private fun first(pool: Pool, declaration: Declaration): OwnershipRecord = OwnershipRecord(
        pool = pool.name,
        term = Term.NONE.next().within(store.era),
        version = RecordVersion.NONE.next().within(store.era),
        allocator = vms.self,
        slots = pool.slots,
        members = if (pool.placement == Placement.Ranges) emptyList() else firstMembers(pool, declaration),
        backedElsewhere = vms.hasSeveralZones,
    )

    /** The record of the next term. Each range gets a new fence, so that its owner refuses every earlier allocator. */
    private fun successor(record: OwnershipRecord): OwnershipRecord {
        val version = record.version.next().within(store.era)
        return record.copy(
            term = record.term.next().within(store.era),
            version = version,
            allocator = vms.self,
            predecessors = record.predecessors + record.allocator,
            ranges = record.ranges.map { it.copy(fence = version) },
            backedElsewhere = record.backedElsewhere && vms.hasSeveralZones,
        )
    }

    private fun firstMembers(pool: Pool, declaration: Declaration) = pool.upstreams.map { upstream ->
        Member(upstream.id, if (declaration.isOut(upstream)) Member.NO_SHARE else Member.FULL_SHARE)
    }
}
