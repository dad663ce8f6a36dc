package cicadagauge.routing

import cicadagauge.declaration.KeySource
import cicadagauge.declaration.Route
import cicadagauge.node.RequestHead
import java.net.URLDecoder

/**
 * Extracts the routing key of a request. Keys from paths and queries are percent-decoded, so that equivalent spellings
 * give the same key.
 */
public fun interface KeyExtractor {
    /**
     * The key of [head], or null if it has none, an empty one, or one that cannot be decoded. A query parameter that
     * occurs more than once gives no key.
     */
    public fun extract(head: RequestHead): String?

    public companion object {
        /** The extractor for [route], whose path is [pattern]; null if the route has no key. */
        public fun of(route: Route, pattern: PathPattern): KeyExtractor? = when (val key = route.key) {
            null -> null
            is KeySource.Header -> KeyExtractor { head -> head.header(key.name)?.takeIf { it.isNotEmpty() } }
            is KeySource.QueryParameter -> KeyExtractor { head -> queryParameter(head.query, key.name) }
            is KeySource.PathSegment -> {
                val index = pattern.segments.indexOf(PathPattern.Segment.Variable(key.name))
                KeyExtractor { head -> segment(head.path, index)?.let(::decode) }
            }
        }

        private fun segment(path: String, index: Int): String? {
            var start = 1
            repeat(index) {
                start = path.indexOf('/', start) + 1
                if (start == 0) return null
            }
            val end = path.indexOf('/', start).let { if (it < 0) path.length else it }
            return path.substring(start, end)
        }

        private fun queryParameter(query: String?, name: String): String? {
            val values = query.orEmpty().split('&').filter { it.substringBefore('=') == name }
            return values.singleOrNull()?.substringAfter('=', "")?.let(::decode)
        }

        private fun decode(text: String): String? {
            if ('%' !in text) return text.takeIf { it.isNotEmpty() }
            // URLDecoder decodes a plus sign to a space, which applies to form data only.
            return runCatching { URLDecoder.decode(text.replace("+", "%2B"), Charsets.UTF_8) }.getOrNull()
        }
    }
}
