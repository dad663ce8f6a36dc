/*
 * Reads typed values from a tree of YAML nodes. Every problem is recorded with its place and reading goes on, so
 * that operators see all problems at once.
 */
package cicadagauge.declaration

import org.yaml.snakeyaml.error.Mark
import org.yaml.snakeyaml.nodes.MappingNode
import org.yaml.snakeyaml.nodes.Node
import org.yaml.snakeyaml.nodes.ScalarNode
import org.yaml.snakeyaml.nodes.SequenceNode

/** Collects what is wrong. */
internal class Problems {
    private val found = ArrayList<Problem>()

    /** All problems in the order of their places. */
    val all: List<Problem> get() = found.sortedWith(compareBy({ it.line }, { it.column }))

    /** Records [message] at [node]. */
    fun add(node: Node, message: String) {
        add(node.startMark, message)
    }

    /** Records [message] at [mark]. */
    fun add(mark: Mark?, message: String) {
        found.add(Problem((mark?.line ?: 0) + 1, (mark?.column ?: 0) + 1, message))
    }
}

/** The fields of one mapping. Fields that nobody asks for are unknown ones, which [finish] reports. */
internal class Fields private constructor(val node: Node, private val problems: Problems) {
    private val values = LinkedHashMap<String, Node>()
    private val keys = HashMap<String, Node>()
    private val asked = LinkedHashSet<String>()

    /** The text of field [name], which must be there. */
    fun text(name: String): String? = required(name)?.let { scalar(it, name) }

    /** The text of field [name], or null. */
    fun optionalText(name: String): String? = take(name)?.let { scalar(it, name) }

    /** The whole number of field [name] within [range], or [default]. */
    fun int(name: String, range: IntRange, default: Int?): Int? {
        val value = (if (default == null) required(name) else take(name)) ?: return default
        val number = scalar(value, name)?.toIntOrNull()
        if (number == null || number !in range) {
            problems.add(value, "'$name' must be a whole number from ${range.first} to ${range.last}")
            return default
        }
        return number
    }

    /** The positive number of field [name] up to [most]. */
    fun decimal(name: String, most: Double): Double? {
        val value = required(name) ?: return null
        val number = scalar(value, name)?.toDoubleOrNull()
        if (number == null || !(number > 0.0 && number <= most)) {
            problems.add(value, "'$name' must be a number above 0, at most $most")
            return null
        }
        return number
    }

    /** The truth value of field [name], or [default]. */
    fun boolean(name: String, default: Boolean): Boolean {
        val value = take(name) ?: return default
        val flag = scalar(value, name)?.toBooleanStrictOrNull()
        if (flag == null) problems.add(value, "'$name' must be true or false")
        return flag ?: default
    }

    /** The items of the list in field [name]; none where it is missing and not [required]. */
    fun items(name: String, required: Boolean = true): List<Node> {
        val value = (if (required) required(name) else take(name)) ?: return emptyList()
        if (value is SequenceNode) return value.value
        problems.add(value, "'$name' must be a list")
        return emptyList()
    }

    /** The texts of the list in field [name], each with its node. */
    fun texts(name: String, required: Boolean = true): List<Pair<Node, String>> =
        items(name, required).mapNotNull { node -> scalar(node, name)?.let { node to it } }

    /** The mapping in field [name], or null. */
    fun mapping(name: String): Fields? = take(name)?.let { of(it, problems) }

    /** Where field [name] is, or the mapping itself. */
    fun place(name: String): Node = values[name] ?: node

    /** Reports the fields that were never asked for. */
    fun finish() {
        for ((name, key) in keys) {
            if (name !in asked) problems.add(key, "unknown field '$name'; known here: ${asked.joinToString()}")
        }
    }

    private fun required(name: String): Node? {
        val value = take(name)
        if (value == null) problems.add(node, "'$name' is missing")
        return value
    }

    private fun take(name: String): Node? {
        asked += name
        return values[name]
    }

    private fun scalar(node: Node, name: String): String? {
        if (node is ScalarNode && node.value.isNotBlank()) return node.value
        problems.add(node, "'$name' must be a single value")
        return null
    }

    companion object {
        /** The fields of [node], or null where it is no mapping. */
        fun of(node: Node, problems: Problems): Fields? {
            if (node !is MappingNode) {
                problems.add(node, "a mapping of fields is expected here")
                return null
            }
            val fields = Fields(node, problems)
            for (tuple in node.value) {
                val name = (tuple.keyNode as? ScalarNode)?.value.orEmpty()
                if (fields.values.put(name, tuple.valueNode) !=
                    null
                ) {
                    problems.add(tuple.keyNode, "field '$name' stands twice")
                }
                fields.keys[name] = tuple.keyNode
            }
            return fields
        }
    }
}
