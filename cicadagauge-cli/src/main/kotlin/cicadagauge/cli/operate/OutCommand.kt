package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.declaration.Declaration
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.UpstreamId
import org.kohsuke.args4j.Argument

/** `zone out|in NAME` and `upstream out|in NAME`: takes a zone or an upstream out of service, or puts it back. */
class OutCommand(private val subject: Subject) : OperatorCommand() {
    @Argument(index = 0, metaVar = "out|in", usage = "what to do", required = true)
    var action: String = ""

    @Argument(index = 1, metaVar = "NAME", usage = "the availability zone or upstream", required = true)
    var name: String = ""

    /** What NAME refers to. */
    enum class Subject { Zone, Upstream }

    override fun run(console: Console): ExitCode {
        if (action != "out" && action != "in") {
            console.printError("'$action' is not allowed; allowed: out, in")
            return ExitCode.Usage
        }
        return withStore(console) { applier ->
            applier.current().fold({ report(it, console) }) { accepted ->
                if (isKnown(accepted.declaration)) {
                    report(applier.edit(operationId(), ::edited), console)
                } else {
                    console.printError("'$name' is not declared")
                    ExitCode.Usage
                }
            }
        }
    }

    private fun isKnown(declaration: Declaration): Boolean = when (subject) {
        Subject.Zone -> AvailabilityZone(name) in declaration.zones
        Subject.Upstream -> declaration.pools.any { pool -> pool.upstreams.any { it.id == UpstreamId(name) } }
    }

    private fun edited(declaration: Declaration): Declaration = when (subject) {
        Subject.Zone -> declaration.copy(zonesOut = toggle(declaration.zonesOut, AvailabilityZone(name)))
        Subject.Upstream -> declaration.copy(upstreamsOut = toggle(declaration.upstreamsOut, UpstreamId(name)))
    }

    private fun <T> toggle(all: Set<T>, one: T): Set<T> = if (action == "out") all + one else all - one
}
