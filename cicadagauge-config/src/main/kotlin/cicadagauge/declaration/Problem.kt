package cicadagauge.declaration

/** An error in the text of a declaration. [line] and [column] count from one. */
public data class Problem(val line: Int, val column: Int, val message: String) {
    override fun toString(): String = "line $line, column $column: $message"
}
