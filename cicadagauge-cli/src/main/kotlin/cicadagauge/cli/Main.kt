/*
 * Entry point of the program `cicadagauge`: selects the command, parses its options and exits with its exit code.
 */
package cicadagauge.cli

import cicadagauge.cli.explain.ExplainCommand
import cicadagauge.cli.operate.ApplyCommand
import cicadagauge.cli.operate.CheckCommand
import cicadagauge.cli.operate.KeyCommand
import cicadagauge.cli.operate.OutOfServiceCommand
import cicadagauge.cli.operate.PlanCommand
import cicadagauge.cli.operate.StatusCommand
import cicadagauge.cli.run.GatewayCommand
import cicadagauge.cli.run.LocalCommand
import cicadagauge.cli.run.PlatformCommand
import cicadagauge.cli.run.StandinCommand
import org.kohsuke.args4j.ClassParser
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.ParserProperties
import java.io.IOException
import java.io.StringWriter
import kotlin.system.exitProcess

/** A command as the usage text lists it, and the function that creates it. */
private class CommandEntry(val name: String, val description: String, val create: () -> Command)

private val COMMANDS = listOf(
    CommandEntry("local", "run three entry VMs with stand-ins in one process under a bounded load", ::LocalCommand),
    CommandEntry("gateway", "run one entry VM", ::GatewayCommand),
    CommandEntry("platform", "run one entry VM on the users' platform with a settings file", ::PlatformCommand),
    CommandEntry("standin", "run a stand-in for a part of the platform: store, upstream or vms", ::StandinCommand),
    CommandEntry("check", "check a declaration", ::CheckCommand),
    CommandEntry("plan", "show what applying a declaration would change", ::PlanCommand),
    CommandEntry("apply", "apply a declaration", ::ApplyCommand),
    CommandEntry("status", "show versions, owners and duties of the VMs", ::StatusCommand),
    CommandEntry(
        "zone",
        "take an availability zone out of service or put it back",
        { OutOfServiceCommand(OutOfServiceCommand.Target.Zone) },
    ),
    CommandEntry(
        "upstream",
        "take an upstream out of service or put it back",
        { OutOfServiceCommand(OutOfServiceCommand.Target.Upstream) },
    ),
    CommandEntry("key", "issue or withdraw a customer's key", ::KeyCommand),
    CommandEntry("explain", "show from the VMs' logs why a request failed", { ExplainCommand() }),
)

/** Options common to all commands. */
private class HelpOption {
    @Option(name = "--help", aliases = ["-h"], usage = "show this help", help = true)
    var help: Boolean = false
}

/** Runs the program and exits the process with its exit code. */
fun main(args: Array<String>) {
    val console = Console()
    val code = try {
        runProgram(args.toList(), console)
    } catch (e: IOException) {
        // Exits explicitly: threads of event loops that were started would keep the process alive.
        console.printError("cicadagauge: ${e.message}")
        ExitCode.Failed
    }
    exitProcess(code.code)
}

/** Runs the command that the first of [args] names; without one, prints the usage text. */
fun runProgram(args: List<String>, console: Console): ExitCode {
    val name = args.firstOrNull()
    val entry = COMMANDS.firstOrNull { it.name == name }
    if (entry != null) return runCommand(entry, args.drop(1), console)
    val isHelpRequested = name == "--help" || name == "-h"
    val printUsage: (String) -> Unit = if (isHelpRequested) console::println else console::printError
    if (name != null && !isHelpRequested) printUsage("unknown command '$name'")
    printUsage("usage: cicadagauge COMMAND [OPTIONS]; cicadagauge COMMAND --help shows a command's options")
    COMMANDS.forEach { printUsage("  ${it.name.padEnd(COMMAND_NAME_WIDTH)} ${it.description}") }
    return if (isHelpRequested) ExitCode.Ok else ExitCode.Usage
}

private fun runCommand(entry: CommandEntry, args: List<String>, console: Console): ExitCode {
    val command = entry.create()
    val help = HelpOption()
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    ClassParser().parse(help, parser)
    try {
        parser.parseArgument(args)
    } catch (e: CmdLineException) {
        console.printError("cicadagauge ${entry.name}: ${e.message}")
        console.printError("cicadagauge ${entry.name} --help lists the options")
        return ExitCode.Usage
    }
    if (!help.help) return command.run(console)
    val usage = StringWriter().also { parser.printUsage(it, null) }
    console.println("cicadagauge ${entry.name}: ${entry.description}\n$usage")
    console.println("Each option can also be set in the environment: --vm-list as CICADAGAUGE_VM_LIST.")
    return ExitCode.Ok
}

private const val COMMAND_NAME_WIDTH = 10
private const val USAGE_WIDTH = 110
