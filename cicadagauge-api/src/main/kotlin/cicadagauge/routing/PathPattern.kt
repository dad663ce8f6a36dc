package cicadagauge.routing

/** A route's path, split into segments. `{name}` stands for one segment, a last `**` for all that follow. */
public class PathPattern private constructor(public val segments: List<Segment>, public val open: Boolean) {
    /** The names of the pattern's variable segments, in order. */
    public val variables: List<String> = segments.filterIsInstance<Segment.Variable>().map { it.name }

    /** The pattern's shape: equal for two patterns that match the same paths. */
    public val shape: String = segments.joinToString("/") { if (it is Segment.Literal) it.text else "{}" } +
        if (open) "/**" else ""

    /** One segment of a path. */
    public sealed interface Segment {
        /** Matches exactly [text]. */
        public data class Literal(val text: String) : Segment

        /** Matches any segment and calls it [name]. */
        public data class Variable(val name: String) : Segment
    }

    public companion object {
        private val VARIABLE = Regex("\\{([A-Za-z][A-Za-z0-9_-]*)}")
        private val LITERAL = Regex("[A-Za-z0-9._~-]+")

        /** The pattern that [text] spells, or null where it is not one. */
        public fun parse(text: String): PathPattern? {
            if (!text.startsWith("/")) return null
            val parts = if (text == "/") emptyList() else text.drop(1).split("/")
            val open = parts.lastOrNull() == "**"
            val segments = (if (open) parts.dropLast(1) else parts).map { segmentOf(it) ?: return null }
            return PathPattern(segments, open)
        }

        private fun segmentOf(part: String): Segment? {
            val variable = VARIABLE.matchEntire(part)
            if (variable != null) return Segment.Variable(variable.groupValues[1])
            return if (LITERAL.matches(part) && part != "." && part != "..") Segment.Literal(part) else null
        }
    }
}
