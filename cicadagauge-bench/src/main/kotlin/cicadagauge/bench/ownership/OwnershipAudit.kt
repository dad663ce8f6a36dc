package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.declaration.Pool
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effect
import cicadagauge.ownership.GrantReport

/** Counts the owners of each slot at the upstreams, which decide whether a request runs. */
class OwnershipAudit : FleetObserver {
    /** The largest number of upstreams that could run requests for the same slot at the same time. */
    var maxOwners = 0
        private set

    override fun onGrantReport(fleet: VirtualFleet, report: GrantReport) {
        if (report.leaseValid) report.slots.toList().forEach { count(fleet, report.pool, it) }
    }

    override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        request.slot?.let { count(fleet, upstream.pool, it) }
    }

    /** The current owner of each slot of [pool], by slot index; null for a slot without an owner. */
    fun owners(fleet: VirtualFleet, pool: Pool): List<UpstreamId?> = (0 until pool.slots).map { index ->
        pool.upstreams.firstOrNull { fleet.upstreams.getValue(it.id).owns(Slot(index)) }?.id
    }

    private fun count(fleet: VirtualFleet, pool: PoolName, slot: Slot) {
        val owners = fleet.upstreams.values.count { it.pool == pool && it.owns(slot) }
        maxOwners = maxOf(maxOwners, owners)
    }
}
