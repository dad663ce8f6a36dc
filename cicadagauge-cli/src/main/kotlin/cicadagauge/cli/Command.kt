package cicadagauge.cli

/** One command of the program. Its options are read by args4j before [run] is called. */
interface Command {
    /** Carries the command out. */
    fun run(console: Console): ExitCode
}

/** Where a command writes. */
class Console(private val out: Appendable = System.out, private val err: Appendable = System.err) {
    /** Writes a line of the command's result. */
    fun say(line: String) {
        out.append(line).append('\n')
    }

    /** Writes a line about what is wrong. */
    fun complain(line: String) {
        err.append(line).append('\n')
    }
}
