package cicadagauge.routing

/** Validation of request paths. */
internal object PathRules {
    /**
     * Whether [path] starts with a slash and has no segment that an upstream might resolve or drop: no empty segment,
     * no trailing slash, and no `.` or `..`, percent-encoded or not.
     */
    fun isNormalized(path: String): Boolean {
        if (path.isEmpty() || path[0] != '/') return false
        var start = 1
        while (start < path.length) {
            val end = path.indexOf('/', start).let { if (it < 0) path.length else it }
            if (isEmptyOrDotSegment(path, start, end)) return false
            start = end + 1
        }
        return path.length == 1 || path.last() != '/'
    }

    private fun isEmptyOrDotSegment(path: String, start: Int, end: Int): Boolean {
        if (end == start) return true
        if (path[start] != '.' && path[start] != '%') return false
        val segment = path.substring(start, end).replace("%2e", ".", ignoreCase = true)
        return segment == "." || segment == ".."
    }
}
