package cicadagauge.declaration

/** Something wrong in a declaration, at a [line] and [column] that count from one. */
public data class Problem(val line: Int, val column: Int, val message: String) {
    override fun toString(): String = "line $line, column $column: $message"
}
