package cicadagauge.bench

import kotlin.system.exitProcess

/**
 * The options of an experiment, given as `--name value` pairs. An unknown option, a missing value or a value that [int]
 * does not accept is reported on standard error and ends the process with exit code 2. [text] accepts any value.
 */
class Options(arguments: List<String>, known: Set<String>) {
    private val values = arguments.chunked(2).associate { pair ->
        val name = pair.first()
        if (name !in known) refuse("unknown option $name; known: ${known.joinToString()}")
        name to (pair.getOrNull(1) ?: refuse("$name needs a value"))
    }

    /** The value of option [name], or null if it was not given. */
    fun text(name: String): String? = values[name]

    /** The value of option [name] as a positive integer, or [default] if it was not given. */
    fun int(name: String, default: Int): Int {
        val text = values[name] ?: return default
        return text.toIntOrNull()?.takeIf { it > 0 } ?: refuse("$name must be a positive integer")
    }

    private fun refuse(problem: String): Nothing {
        System.err.println(problem)
        exitProcess(2)
    }
}
