package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.identity.DeclarationVersion
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** `apply FILE`: makes the declaration in FILE the accepted one. */
class ApplyCommand : OperatorCommand() {
    @Argument(metaVar = "FILE", usage = "the declaration", required = true)
    var file: String = ""

    @Option(name = "--base", usage = "the version that the plan was made against; default: the version in force")
    var base: String? = null

    override fun run(console: Console): ExitCode {
        val text = readFile(file, console) ?: return ExitCode.Usage
        readDeclaration(text, file, console) ?: return ExitCode.Invalid
        val baseVersion = base?.let { it.toLongOrNull() ?: return rejectBase(console, it) }
        return withStore(console) {
            report(it.apply(text, baseVersion?.let(::DeclarationVersion), operationId()), console)
        }
    }

    private fun rejectBase(console: Console, value: String): ExitCode {
        console.printError("--base: '$value' is not allowed; allowed: a version, a whole number")
        return ExitCode.Usage
    }
}
