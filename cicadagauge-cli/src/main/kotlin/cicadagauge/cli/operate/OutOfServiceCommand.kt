package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.declaration.Declaration
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.UpstreamId
import org.kohsuke.args4j.Argument

/** `zone out|in NAME` and `upstream out|in NAME`: takes a zone or an upstream out of service, or puts it back. */
class OutOfServiceCommand(private val target: Target) : OperatorCommand() {
    @Argument(index = 0, metaVar = "out|in", usage = "what to do", required = true)
    var action: String = ""

    @Argument(index = 1, metaVar = "NAME", usage = "the availability zone or upstream", required = true)
    var name: String = ""

    /** What NAME refers to. */
    enum class Target { Zone, Upstream }

    override fun run(console: Console): ExitCode {
        if (action != "out" && action != "in") {
            console.printError("'$action' is not allowed; allowed: out, in")
            return ExitCode.Usage
        }
        return withStore(console) { applier ->
            applier.current().fold({ report(it, console) }) { accepted ->
                if (isDeclared(accepted.declaration)) {
                    report(applier.edit(operationId(), ::updated), console)
                } else {
                    console.printError("'$name' is not declared")
                    ExitCode.Usage
                }
            }
        }
    }

    private fun isDeclared(declaration: Declaration): Boolean = when (target) {
        Target.Zone -> AvailabilityZone(name) in declaration.zones
        Target.Upstream -> declaration.pools.any { pool -> pool.upstreams.any { it.id == UpstreamId(name) } }
    }

    private fun updated(declaration: Declaration): Declaration = when (target) {
        Target.Zone -> declaration.copy(zonesOut = addOrRemove(declaration.zonesOut, AvailabilityZone(name)))
        Target.Upstream -> declaration.copy(upstreamsOut = addOrRemove(declaration.upstreamsOut, UpstreamId(name)))
    }

    private fun <T> addOrRemove(elements: Set<T>, element: T): Set<T> =
        if (action == "out") elements + element else elements - element
}
