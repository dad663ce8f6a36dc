package cicadagauge.routing

import cicadagauge.declaration.Route

/** Finds routes by host and path prefix; the longest matching prefix wins. */
internal class PrefixTable(routes: List<Route>) {
    private val byHost = HashMap<String, HashMap<String, Route>>()

    init {
        for (route in routes) {
            val prefix = route.prefix ?: continue
            byHost.getOrPut(prefix.host.lowercase()) { HashMap() }[prefix.path] = route
        }
    }

    /** The route of a request for [path] on [host], or null if none matches. Hosts are compared ignoring case. */
    fun find(host: String?, path: String): Route? {
        val prefixes = byHost[host?.lowercase() ?: return null] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
