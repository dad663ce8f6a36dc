package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.declaration.AcceptedDeclaration
import cicadagauge.declaration.ApplyError
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationDiff
import org.kohsuke.args4j.Argument

/** `plan FILE`: prints the difference between the declaration in force and the one in FILE. Changes nothing. */
class PlanCommand : OperatorCommand() {
    @Argument(metaVar = "FILE", usage = "the declaration", required = true)
    var file: String = ""

    override fun run(console: Console): ExitCode {
        val text = readFile(file, console) ?: return ExitCode.Usage
        val after = readDeclaration(text, file, console) ?: return ExitCode.Invalid
        return withStore(console) { applier ->
            applier.current().fold({
                if (it ==
                    ApplyError.Missing
                ) {
                    printPlan(null, after, console)
                } else {
                    report(it, console)
                }
            }) {
                printPlan(it, after, console)
            }
        }
    }

    private fun printPlan(before: AcceptedDeclaration?, after: Declaration, console: Console): ExitCode {
        val base = before?.stored?.version?.value ?: 0
        val changes = DeclarationDiff.between(before?.declaration, after)
        if (json) {
            console.println(toJson(PlanLine(base, changes.map { it.toString() })))
            return ExitCode.Ok
        }
        console.println("against version $base:")
        changes.forEach { console.println("  $it") }
        if (changes.isEmpty()) console.println("  no changes")
        console.println("apply with: cicadagauge apply $file --base $base")
        return ExitCode.Ok
    }

    private data class PlanLine(val base: Long, val changes: List<String>)
}
