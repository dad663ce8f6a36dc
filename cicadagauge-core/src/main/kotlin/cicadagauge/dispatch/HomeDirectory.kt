package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.node.HomePolicy
import cicadagauge.routing.OwnerDirectory

/**
 * Determines the home VM of a request: the VM that schedules it. In a pool with keys each upstream has its own home, in
 * the upstream's availability zone if that has a VM. In a pool without keys the upstreams of one zone share a home, so
 * that most requests stay within their zone. VMs that reach no upstream are homes only if no VM does.
 */
internal class HomeDirectory(
    private val vms: VmDirectory,
    private val owners: OwnerDirectory,
    private val settings: DispatchSettings,
) {
    private val ownerDuties = HashMap<UpstreamId, String>()
    private val zoneDuties = HashMap<Pair<PoolName, AvailabilityZone?>, String>()
    private val upstreamZones = HashMap<UpstreamId, AvailabilityZone>()
    private val poolZones = HashMap<PoolName, List<AvailabilityZone>>()
    private var rotation = 0

    /** Applies the pools of [declaration]. */
    fun configure(declaration: Declaration) {
        ownerDuties.clear()
        upstreamZones.clear()
        poolZones.clear()
        for (pool in declaration.pools) {
            pool.upstreams.forEach { upstreamZones[it.id] = it.zone }
            poolZones[pool.name] = pool.upstreams.filterNot(declaration::isOut).map { it.zone }.distinct()
        }
    }

    /** The VM that schedules [request]. */
    fun homeOf(request: PendingRequest): VmId {
        if (settings.homes == HomePolicy.Local || request.isRelayedHere) return vms.self
        val owner = request.slot?.let { owners[request.pool.name]?.ownerOf(it) }
        return if (owner == null) homeOf(request.pool.name, request.zoneSelector.zone) else homeOf(owner)
    }

    private fun homeOf(owner: UpstreamId): VmId {
        val duty = ownerDuties.getOrPut(owner) { "home/$owner" }
        return vms.responsibleFor(duty, upstreamZones[owner], needsUpstreams = true)?.id ?: vms.self
    }

    /** The home of the upstreams of [pool] in [zone]; also of requests whose slot has no owner at present. */
    private fun homeOf(pool: PoolName, zone: AvailabilityZone?): VmId {
        val duty = zoneDuties.getOrPut(pool to zone) { "home/$pool/${zone ?: ""}" }
        return vms.responsibleFor(duty, zone, needsUpstreams = true)?.id ?: vms.self
    }

    /**
     * The zones that may serve a request without a key for [pool]. This VM's zone comes first; the order of the others
     * rotates from call to call.
     */
    fun zoneSelectorFor(pool: Pool): ZoneSelector {
        val candidates = poolZones[pool.name].orEmpty()
        if (pool.keyed || candidates.isEmpty()) return ZoneSelector(emptyList())
        rotation++
        val others = candidates.filter { it != vms.zone }
        val rotated = others.indices.map { others[(it + rotation) % others.size] }
        return ZoneSelector(if (vms.zone in candidates) listOf(vms.zone) + rotated else rotated)
    }
}
