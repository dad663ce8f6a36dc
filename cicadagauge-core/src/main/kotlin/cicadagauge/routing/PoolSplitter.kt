package cicadagauge.routing

import cicadagauge.declaration.PoolShare
import cicadagauge.declaration.Route
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName

/**
 * Distributes the requests of split routes over pools by weight. It uses smooth weighted round-robin, which interleaves
 * the pools as evenly as possible, so that short sequences of requests match the weights too.
 */
internal class PoolSplitter {
    private val rotations = HashMap<RouteName, WeightedRoundRobin>()

    /** The pool for the next request of [route]. */
    fun next(route: Route): PoolName {
        if (route.split.isEmpty()) return route.pool
        val rotation = rotations[route.name]?.takeIf { it.shares == route.split }
            ?: WeightedRoundRobin(route.split).also { rotations[route.name] = it }
        return rotation.next()
    }

    private class WeightedRoundRobin(val shares: List<PoolShare>) {
        private val currentWeights = IntArray(shares.size)
        private val totalWeight = shares.sumOf { it.weight }

        fun next(): PoolName {
            for (index in shares.indices) currentWeights[index] += shares[index].weight
            val chosen = currentWeights.indices.maxBy { currentWeights[it] }
            currentWeights[chosen] -= totalWeight
            return shares[chosen].pool
        }
    }
}
