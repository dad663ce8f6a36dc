package cicadagauge.cli.explain

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import org.kohsuke.args4j.Argument
import java.io.File
import java.io.IOException
import java.io.InputStream

/** `explain ID FILES`: tells the story of one request from the logs of all VMs, or from standard input. */
class ExplainCommand(private val input: InputStream = System.`in`) : Command {
    @Argument(index = 0, metaVar = "ID", usage = "the id that the caller gave the request", required = true)
    var id: String = ""

    @Argument(index = 1, metaVar = "FILE", usage = "logs of the VMs; standard input where none is given")
    var files: MutableList<String> = ArrayList()

    override fun run(console: Console): ExitCode {
        val lines = try {
            if (files.isEmpty()) input.bufferedReader().readLines() else files.flatMap { File(it).readLines() }
        } catch (e: IOException) {
            console.complain("cicadagauge explain: ${e.message}")
            return ExitCode.Usage
        }
        return tell(RequestStory.of(id, lines.asSequence()), console)
    }

    private fun tell(story: RequestStory, console: Console): ExitCode {
        val deciding = story.deciding
        if (deciding == null) {
            console.complain("no line names request '$id': it was served, never came, or its lines were left out")
            return ExitCode.Failed
        }
        story.events.forEach { console.say(if (it === deciding) "* $it" else "  $it") }
        console.say("decided by ${deciding.vm}: ${deciding.fields["detail"] ?: deciding.fields["outcome"]}")
        if (story.beliefs.isNotEmpty()) console.say("what these VMs came to believe in the 3 s before:")
        story.beliefs.forEach { console.say("  $it") }
        return ExitCode.Ok
    }
}
