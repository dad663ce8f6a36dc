/*
 * Reads typed values from a tree of YAML nodes. A problem is recorded with its position and reading continues, so that
 * operators see all problems at once.
 */
package cicadagauge.declaration

import org.yaml.snakeyaml.error.Mark
import org.yaml.snakeyaml.nodes.MappingNode
import org.yaml.snakeyaml.nodes.Node
import org.yaml.snakeyaml.nodes.ScalarNode
import org.yaml.snakeyaml.nodes.SequenceNode

/** Collects the problems found in a declaration. */
internal class Problems {
    private val found = ArrayList<Problem>()

    /** All problems, sorted by line and column. */
    val all: List<Problem> get() = found.sortedWith(compareBy({ it.line }, { it.column }))

    /** Records [message] at the start of [node]. */
    fun add(node: Node, message: String) {
        add(node.startMark, message)
    }

    /** Records [message] at [mark], or at the start of the text if it is null. */
    fun add(mark: Mark?, message: String) {
        found.add(Problem((mark?.line ?: 0) + 1, (mark?.column ?: 0) + 1, message))
    }
}

/**
 * The fields of one mapping. The accessors return null, an empty list or the default for a field that is missing or
 * invalid, and record a problem if it is invalid or required. [reportUnknownFields] is to be called after them and
 * reports the fields that no accessor was called for.
 */
internal class Fields private constructor(val node: Node, private val problems: Problems) {
    private val values = LinkedHashMap<String, Node>()
    private val keys = HashMap<String, Node>()
    private val requested = LinkedHashSet<String>()

    /** The value of the required field [name]. */
    fun text(name: String): String? = required(name)?.let { scalar(it, name) }

    /** The value of the optional field [name]. */
    fun optionalText(name: String): String? = lookUp(name)?.let { scalar(it, name) }

    /** The integer in field [name], which must be in [range]. The field is required if [default] is null. */
    fun int(name: String, range: IntRange, default: Int?): Int? {
        val value = (if (default == null) required(name) else lookUp(name)) ?: return default
        val number = scalar(value, name)?.toIntOrNull()
        if (number == null || number !in range) {
            problems.add(value, "'$name' must be a whole number from ${range.first} to ${range.last}")
            return default
        }
        return number
    }

    /** The number in the required field [name], which must be above 0 and at most [max]. */
    fun decimal(name: String, max: Double): Double? {
        val value = required(name) ?: return null
        val number = scalar(value, name)?.toDoubleOrNull()
        if (number == null || !(number > 0.0 && number <= max)) {
            problems.add(value, "'$name' must be a number above 0 and at most $max")
            return null
        }
        return number
    }

    /** The boolean in field [name], or [default]. */
    fun boolean(name: String, default: Boolean): Boolean {
        val value = lookUp(name) ?: return default
        val flag = scalar(value, name)?.toBooleanStrictOrNull()
        if (flag == null) problems.add(value, "'$name' must be true or false")
        return flag ?: default
    }

    /** The items of the list in field [name]. */
    fun items(name: String, required: Boolean = true): List<Node> {
        val value = (if (required) required(name) else lookUp(name)) ?: return emptyList()
        if (value is SequenceNode) return value.value
        problems.add(value, "'$name' must be a list")
        return emptyList()
    }

    /** The scalar items of the list in field [name], each with its node. */
    fun texts(name: String, required: Boolean = true): List<Pair<Node, String>> =
        items(name, required).mapNotNull { node -> scalar(node, name)?.let { node to it } }

    /** The mapping in the optional field [name]. */
    fun mapping(name: String): Fields? = lookUp(name)?.let { of(it, problems) }

    /** The node of field [name], or that of the mapping if the field is missing, to report a problem at. */
    fun nodeOf(name: String): Node = values[name] ?: node

    /** Reports the fields that no accessor was called for. */
    fun reportUnknownFields() {
        for ((name, key) in keys) {
            if (name !in requested) {
                problems.add(key, "unknown field '$name'; expected one of: ${requested.joinToString()}")
            }
        }
    }

    private fun required(name: String): Node? {
        val value = lookUp(name)
        if (value == null) problems.add(node, "'$name' is missing")
        return value
    }

    private fun lookUp(name: String): Node? {
        requested += name
        return values[name]
    }

    private fun scalar(node: Node, name: String): String? {
        if (node is ScalarNode && node.value.isNotBlank()) return node.value
        problems.add(node, "'$name' must be a single, non-blank value")
        return null
    }

    companion object {
        /** The fields of [node]; records a problem and returns null if it is not a mapping. */
        fun of(node: Node, problems: Problems): Fields? {
            if (node !is MappingNode) {
                problems.add(node, "expected a mapping")
                return null
            }
            val fields = Fields(node, problems)
            for (tuple in node.value) {
                val name = (tuple.keyNode as? ScalarNode)?.value.orEmpty()
                if (fields.values.put(name, tuple.valueNode) !=
                    null
                ) {
                    problems.add(tuple.keyNode, "duplicate field '$name'")
                }
                fields.keys[name] = tuple.keyNode
            }
            return fields
        }
    }
}
