package cicadagauge.cli.operate

import arrow.core.Either
import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.declaration.ApplyError
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationApplier
import cicadagauge.declaration.Problem
import cicadagauge.declaration.YamlDeclarationReader
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.store.Json
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/** Options and functions common to the commands for operators. */
abstract class OperatorCommand : Command {
    @Option(name = "--json", usage = "print JSON")
    var json: Boolean = false

    @Option(name = "--store", usage = "address of the platform store, host:port")
    var store: String? = null

    @Option(
        name = "--operation",
        usage = "id of this operation; repeat it when you retry after a lost answer",
    )
    var operation: String? = null

    /** The operation's id: the one given, or a random UUID at each call. */
    protected fun operationId(): OperationId = OperationId(operation ?: UUID.randomUUID().toString())

    /** Runs [action] against the platform store; prints the problems instead if [settings] have any. */
    protected fun withStore(
        console: Console,
        settings: Settings = Settings(),
        action: (DeclarationApplier) -> ExitCode,
    ): ExitCode {
        val address = settings.address("--store", store)
        if (settings.problems.isNotEmpty()) return printProblems(settings, console)
        return action(DeclarationApplier(StoreConnection(address)))
    }

    /** The content of the file at [path]; prints the error and returns null if it can't be read. */
    protected fun readFile(path: String, console: Console): String? = try {
        Files.readString(Path.of(path))
    } catch (e: IOException) {
        console.printError("can't read $path: ${e.message}")
        null
    }

    /** Parses [text], read from [path]; prints all problems and returns null if it is invalid. */
    protected fun readDeclaration(text: String, path: String, console: Console): Declaration? =
        YamlDeclarationReader().read(text).fold({ printProblems(it, path, console) }) { it }

    private fun printProblems(problems: List<Problem>, path: String, console: Console): Declaration? {
        if (json) console.println(toJson(problems)) else problems.forEach { console.printError("$path: $it") }
        return null
    }

    /** Prints the version that the store accepted, or the error. */
    protected fun report(result: Either<ApplyError, DeclarationVersion>, console: Console): ExitCode =
        result.fold({ report(it, console) }) { version ->
            console.println(if (json) toJson(AcceptedLine(version.value)) else "accepted as version $version")
            ExitCode.Ok
        }

    /** Prints [error] and returns its exit code. */
    protected fun report(error: ApplyError, console: Console): ExitCode {
        val (code, text) = when (error) {
            is ApplyError.Invalid -> ExitCode.Invalid to error.problems.joinToString("\n")
            is ApplyError.Conflict ->
                ExitCode.Conflict to
                    "version ${error.found} is in force, not ${error.expected}: another operator was first; plan again"
            ApplyError.Missing -> ExitCode.Invalid to "no declaration has been applied yet"
            is ApplyError.Unreadable -> ExitCode.Failed to "can't read the declaration in the store: ${error.problem}"
            is ApplyError.Unavailable -> ExitCode.Unavailable to unavailableMessage(error)
        }
        if (json) console.println(toJson(ErrorLine(code.name.lowercase(), text))) else console.printError(text)
        return code
    }

    /** Prints the problems of [settings]. */
    protected fun printProblems(settings: Settings, console: Console): ExitCode {
        settings.problems.forEach(console::printError)
        return ExitCode.Usage
    }

    /** The JSON form of [value]. */
    protected fun toJson(value: Any): String = Json.mapper.writeValueAsString(value)

    private fun unavailableMessage(error: ApplyError.Unavailable): String = if (error.mayBeWritten) {
        "the store does not answer; the change may have been accepted: retry with the same --operation"
    } else {
        "the store does not answer; nothing was changed"
    }

    private data class AcceptedLine(val version: Long)

    private data class ErrorLine(val error: String, val detail: String)
}
