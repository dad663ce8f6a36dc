package cicadagauge.routing

/**
 * A parsed path pattern of a route. `{name}` matches one segment; a final `**` matches all remaining segments.
 *
 * @property hasCatchAll whether the pattern ends with `**`.
 */
public class PathPattern private constructor(public val segments: List<Segment>, public val hasCatchAll: Boolean) {
    /** The names of the variable segments, in order. */
    public val variables: List<String> = segments.filterIsInstance<Segment.Variable>().map { it.name }

    /** The pattern without the names of its variables: equal for two patterns that match the same paths. */
    public val shape: String = segments.joinToString("/") { if (it is Segment.Literal) it.text else "{}" } +
        if (hasCatchAll) "/**" else ""

    /** A segment of a path pattern. */
    public sealed interface Segment {
        /** Matches a segment that is equal to [text]. */
        public data class Literal(val text: String) : Segment

        /** Matches any segment and captures it as [name]. */
        public data class Variable(val name: String) : Segment
    }

    public companion object {
        private val VARIABLE = Regex("\\{([A-Za-z][A-Za-z0-9_-]*)}")
        private val LITERAL = Regex("[A-Za-z0-9._~-]+")

        /** Parses [text]; returns null if it is not a valid pattern. */
        public fun parse(text: String): PathPattern? {
            if (!text.startsWith("/")) return null
            val parts = if (text == "/") emptyList() else text.drop(1).split("/")
            val hasCatchAll = parts.lastOrNull() == "**"
            val segments = (if (hasCatchAll) parts.dropLast(1) else parts).map { parseSegment(it) ?: return null }
            return PathPattern(segments, hasCatchAll)
        }

        private fun parseSegment(part: String): Segment? {
            val variable = VARIABLE.matchEntire(part)
            if (variable != null) return Segment.Variable(variable.groupValues[1])
            return if (LITERAL.matches(part) && part != "." && part != "..") Segment.Literal(part) else null
        }
    }
}
