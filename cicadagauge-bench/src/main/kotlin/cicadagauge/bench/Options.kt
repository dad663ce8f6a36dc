package cicadagauge.bench

import kotlin.system.exitProcess

/** The options of an experiment, as `--name value`. Anything else ends the program with a word about it. */
class Options(arguments: List<String>, known: Set<String>) {
    private val values = arguments.chunked(2).associate { pair ->
        val name = pair.first()
        if (name !in known) refuse("unknown option $name; known: ${known.joinToString()}")
        name to (pair.getOrNull(1) ?: refuse("$name needs a value"))
    }

    /** The text of option [name], or null. */
    fun text(name: String): String? = values[name]

    /** The positive whole number of option [name], or [default]. */
    fun int(name: String, default: Int): Int {
        val text = values[name] ?: return default
        return text.toIntOrNull()?.takeIf { it > 0 } ?: refuse("$name must be a positive whole number")
    }

    private fun refuse(problem: String): Nothing {
        System.err.println(problem)
        exitProcess(2)
    }
}
