package cicadagauge.membership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Upstream
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId

/** Selects upstreams to connect to, from as many availability zones and pools as possible; each VM begins elsewhere. */
internal class ProbeSelector(self: VmId) {
    private var candidates = emptyList<Candidate>()
    private val ids = HashSet<UpstreamId>()
    private var rotation = self.value.hashCode().mod(MAX_INITIAL_ROTATION)

    /** The number of upstreams in service. */
    val size: Int get() = candidates.size

    /** Whether [upstream] is in service. */
    operator fun contains(upstream: UpstreamId): Boolean = upstream in ids

    /** Applies the upstreams of [declaration] that are in service. */
    fun configure(declaration: Declaration) {
        candidates = declaration.pools.flatMap { pool ->
            pool.upstreams.filterNot(declaration::isOut).map { Candidate(pool.name, it) }
        }
        ids.clear()
        candidates.mapTo(ids) { it.upstream.id }
    }

    /**
     * Up to [limit] upstreams that are not in [excluded]. Those that are not in [failed] come first, and of these the
     * ones of other availability zones and pools.
     */
    fun select(limit: Int, excluded: Set<UpstreamId>, failed: Set<UpstreamId>): List<Upstream> {
        if (candidates.isEmpty()) return emptyList()
        rotation++
        val rotated = candidates.indices.map { candidates[(it + rotation) % candidates.size] }
        val remaining = rotated.filterTo(ArrayList()) { it.upstream.id !in excluded }
        val zones = HashMap<AvailabilityZone, Int>()
        val pools = HashMap<PoolName, Int>()
        val count = { candidate: Candidate ->
            zones.merge(candidate.upstream.zone, 1, Int::plus)
            pools.merge(candidate.pool, 1, Int::plus)
        }
        candidates.filter { it.upstream.id in failed }.forEach { count(it) }
        return List(minOf(limit, remaining.size)) {
            val next = remaining.minWith(
                compareBy({ it.upstream.id in failed }, { (zones[it.upstream.zone] ?: 0) + (pools[it.pool] ?: 0) }),
            )
            remaining.remove(next)
            count(next)
            next.upstream
        }
    }

    private data class Candidate(val pool: PoolName, val upstream: Upstream)

    private companion object {
        const val MAX_INITIAL_ROTATION = 10_000
    }
}
