package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import org.kohsuke.args4j.Argument

/** `check FILE`: validates a declaration and lists all its problems. */
class CheckCommand : OperatorCommand() {
    @Argument(metaVar = "FILE", usage = "the declaration", required = true)
    var file: String = ""

    override fun run(console: Console): ExitCode {
        val text = readFile(file, console) ?: return ExitCode.Usage
        val declaration = readDeclaration(text, file, console) ?: return ExitCode.Invalid
        val line = CheckedLine(declaration.pools.size, declaration.routes.size, declaration.customers.size)
        console.println(
            if (json) {
                toJson(
                    line,
                )
            } else {
                "valid: ${line.pools} pools, ${line.routes} routes, ${line.customers} customers"
            },
        )
        return ExitCode.Ok
    }

    private data class CheckedLine(val pools: Int, val routes: Int, val customers: Int)
}
