package cicadagauge.cli

/** A command of the command-line interface. args4j sets its options before [run] is called. */
interface Command {
    /** Executes the command, writes its result to [console] and returns the exit code of the process. */
    fun run(console: Console): ExitCode
}

/** The output streams of a command: results go to [out], diagnostics to [err]. */
class Console(private val out: Appendable = System.out, private val err: Appendable = System.err) {
    /** Writes [line], part of the result, to standard output. */
    fun println(line: String) {
        out.append(line).append('\n')
    }

    /** Writes [line], a diagnostic, to standard error. */
    fun printError(line: String) {
        err.append(line).append('\n')
    }
}
