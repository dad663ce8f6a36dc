package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.membership.VmDirectory

/** The ownership records with which this VM begins a term. */
internal class TermRecords(private val vms: VmDirectory) {
    /** The record of the term after that of [stored], or of the first one of [pool], which [declaration] contains. */
    fun next(stored: OwnershipRecord?, pool: Pool, declaration: Declaration): OwnershipRecord =
        stored?.let(::successor) ?: first(pool, declaration)

    private fun first(pool: Pool, declaration: Declaration): OwnershipRecord = OwnershipRecord(
        pool = pool.name,
        term = Term.NONE.next(),
        version = RecordVersion.NONE.next(),
        allocator = vms.self,
        slots = pool.slots,
        members = if (pool.placement == Placement.Ranges) emptyList() else firstMembers(pool, declaration),
        backedElsewhere = vms.hasSeveralZones,
    )

    /** The record of the next term. Each range gets a new fence, so that its owner refuses every earlier allocator. */
    private fun successor(record: OwnershipRecord): OwnershipRecord {
        val version = record.version.next()
        return record.copy(
            term = record.term.next(),
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
