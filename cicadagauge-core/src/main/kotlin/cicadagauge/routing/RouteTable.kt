/*
 * Finds the route of a request. Routes are kept in a trie of path segments, so that the cost of a lookup depends on
 * the number of segments and not on the number of routes. A literal segment takes precedence over a variable one, and a
 * variable one over `**`.
 */
package cicadagauge.routing

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Route

/**
 * The routes of one declaration. Routes by host and prefix take precedence over those by path; they accept every
 * method, and their paths need not be normalized.
 */
public class RouteTable(declaration: Declaration) {
    private val root = Node()
    private val prefixes = PrefixTable(declaration.routes)
    private val pools = declaration.pools.associateBy { it.name }
    private val splitter = PoolSplitter()

    init {
        for (route in declaration.routes) {
            if (route.prefix == null) add(route, requireNotNull(declaration.pool(route.pool)))
        }
    }

    /** Finds the route of a request. For a split route, each call returns the next pool by weight. */
    public fun match(method: String, path: String, host: String? = null): RouteMatch {
        val prefixed = prefixes.find(host, path)
        if (prefixed != null) return found(prefixed)
        if (!PathRules.isNormalized(path)) return RouteMatch.BadPath
        val leaf = find(root, path, 1) ?: return RouteMatch.NoRoute
        val target = leaf.matchesByMethod[method] ?: return RouteMatch.WrongMethod(leaf.matchesByMethod.keys)
        return target
    }

    private fun found(route: Route): RouteMatch {
        val pool = pools.getValue(splitter.next(route))
        return RouteMatch.Found(route, pool, if (pool.keyed) KeyExtractor.of(route, PREFIX_PATTERN) else null)
    }

    private fun find(node: Node, path: String, start: Int): Node? {
        if (start >= path.length) return node.takeIf { it.matchesByMethod.isNotEmpty() } ?: node.catchAll
        val end = path.indexOf('/', start).let { if (it < 0) path.length else it }
        val literal = node.literals[path.substring(start, end)]
        return literal?.let { find(it, path, end + 1) }
            ?: node.variable?.let { find(it, path, end + 1) }
            ?: node.catchAll
    }

    private fun add(route: Route, pool: Pool) {
        val pattern = requireNotNull(PathPattern.parse(route.path))
        val end = pattern.segments.fold(root) { node, segment ->
            when (segment) {
                is PathPattern.Segment.Literal -> node.literals.getOrPut(segment.text) { Node() }
                is PathPattern.Segment.Variable -> node.variable ?: Node().also { node.variable = it }
            }
        }
        val leaf = if (pattern.hasCatchAll) end.catchAll ?: Node().also { end.catchAll = it } else end
        val target = RouteMatch.Found(route, pool, KeyExtractor.of(route, pattern))
        for (method in route.methods) leaf.matchesByMethod[method] = target
    }

    private companion object {
        val PREFIX_PATTERN = requireNotNull(PathPattern.parse("/**"))
    }

    private class Node {
        val literals = HashMap<String, Node>()
        val matchesByMethod = HashMap<String, RouteMatch.Found>()
        var variable: Node? = null
        var catchAll: Node? = null
    }
}

/** The result of a lookup in a [RouteTable]. */
public sealed interface RouteMatch {
    /** The request belongs to [route] and goes to [pool]; [extractor] finds its key, null if the route has none. */
    public data class Found(val route: Route, val pool: Pool, val extractor: KeyExtractor?) : RouteMatch

    /** A route has this path, but only with the methods in [allowed]. */
    public data class WrongMethod(val allowed: Set<String>) : RouteMatch

    /** No route has this path. */
    public data object NoRoute : RouteMatch

    /** The path is ambiguous, since an upstream might resolve it differently: it has empty, `.` or `..` segments. */
    public data object BadPath : RouteMatch
}
