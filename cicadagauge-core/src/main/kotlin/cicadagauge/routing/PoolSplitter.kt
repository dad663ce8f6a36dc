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
    private val turns = HashMap<RouteName, Turn>()

    /** The pool for the next request of [route]. */
    fun next(route: Route): PoolName {
        if (route.split.isEmpty()) return route.pool
        val turn = turns[route.name]?.takeIf { it.shares == route.split }
            ?: Turn(route.split).also { turns[route.name] = it }
        return turn.next()
    }

    private class Turn(val shares: List<PoolShare>) {
        private val credit = IntArray(shares.size)
        private val total = shares.sumOf { it.weight }

        fun next(): PoolName {
            for (index in shares.indices) credit[index] += shares[index].weight
            val chosen = credit.indices.maxBy { credit[it] }
            credit[chosen] -= total
            return shares[chosen].pool
        }
    }
}
