package cicadagauge.cli.explain

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import org.kohsuke.args4j.Argument
import java.io.File
import java.io.IOException
import java.io.InputStream

/**
 * `explain ID FILES`: prints the log events of request ID in the order of time and marks the one that decided its
 * outcome. Reads the logs of the VMs from FILES, or from standard input where none are given.
 */
class ExplainCommand(private val input: InputStream = System.`in`) : Command {
    @Argument(index = 0, metaVar = "ID", usage = "the request id that the caller sent", required = true)
    var id: String = ""

    @Argument(index = 1, metaVar = "FILE", usage = "log files of the VMs; default: standard input")
    var files: MutableList<String> = ArrayList()

    override fun run(console: Console): ExitCode {
        val lines = try {
            if (files.isEmpty()) input.bufferedReader().readLines() else files.flatMap { File(it).readLines() }
        } catch (e: IOException) {
            console.printError("cicadagauge explain: ${e.message}")
            return ExitCode.Usage
        }
        return printHistory(RequestHistory.of(id, lines.asSequence()), console)
    }

    private fun printHistory(history: RequestHistory, console: Console): ExitCode {
        val deciding = history.decidingEvent
        if (deciding == null) {
            console.printError("no line names request '$id': it was served, never arrived or its log lines are missing")
            return ExitCode.Failed
        }
        history.events.forEach { console.println(if (it === deciding) "* $it" else "  $it") }
        console.println("decided by ${deciding.vm}: ${deciding.fields["detail"] ?: deciding.fields["outcome"]}")
        if (history.stateChanges.isNotEmpty()) {
            console.println("state changes of these VMs since 3 s before the first event:")
        }
        history.stateChanges.forEach { console.println("  $it") }
        return ExitCode.Ok
    }
}
