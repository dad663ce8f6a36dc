package cicadagauge.cli.run

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.standins.store.StoreStandin
import cicadagauge.standins.upstream.UpstreamSettings
import cicadagauge.standins.upstream.UpstreamStandin
import cicadagauge.standins.vms.VmListStandin
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.concurrent.CountDownLatch

/** `standin store|upstream|vms`: runs a stand-in for a part of the platform until the process is stopped. */
class StandinCommand : Command {
    @Argument(metaVar = "store|upstream|vms", usage = "the part of the platform to simulate", required = true)
    var kind: String = ""

    @Option(name = "--listen", usage = "address to listen on, host:port")
    var listen: String? = null

    @Option(
        name = "--vms",
        usage = "vms: comma-separated list of id=control/callers@zone, both addresses host:port",
    )
    var vms: String? = null

    @Option(name = "--lag", usage = "vms: milliseconds until a change of the list is visible")
    var lag: String? = null

    @Option(name = "--id", usage = "upstream: its id")
    var id: String? = null

    @Option(name = "--pool", usage = "upstream: its pool")
    var pool: String? = null

    @Option(name = "--keyed", usage = "upstream: true if it runs only requests that it holds a grant for")
    var keyed: String? = null

    @Option(name = "--concurrency", usage = "upstream: requests that it runs concurrently")
    var concurrency: String? = null

    @Option(name = "--service", usage = "upstream: service time of a request in milliseconds")
    var service: String? = null

    @Option(name = "--secret", usage = "upstream: the deployment's secret")
    var secret: String? = null

    private val settings = Settings()

    override fun run(console: Console): ExitCode {
        val address = settings.address("--listen", listen)
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val start: () -> Unit = when (kind) {
            "store" -> { -> StoreStandin(eventLoops, address).start() }
            "vms" -> parseVmList().let { list ->
                val delay = settings.millis("--lag", lag, LAG_RANGE_MILLIS, DEFAULT_LAG_MILLIS);
                { VmListStandin(eventLoops, address, delay, list).start() }
            }
            "upstream" -> readTraits().let { traits ->
                val deploymentSecret = settings.text("--secret", secret);
                { UpstreamStandin(eventLoops, address, traits, deploymentSecret).start() }
            }
            else -> {
                settings.reject("KIND", kind, "store, upstream, vms");
                {}
            }
        }
        if (settings.problems.isNotEmpty()) {
            settings.problems.forEach(console::printError)
            return ExitCode.Usage
        }
        start()
        console.println("$kind stand-in listens on $address")
        CountDownLatch(1).await()
        return ExitCode.Ok
    }

    private fun parseVmList(): List<Vm> = settings.text("--vms", vms).split(',').mapNotNull { text ->
        val parts = VM_PATTERN.matchEntire(text.trim())
        if (parts == null) {
            settings.reject("--vms", text, "id=control/callers@zone, both host:port")
            return@mapNotNull null
        }
        val (name, control, callers, zone) = parts.destructured
        Vm(VmId(name), settings.address("--vms", control), settings.address("--vms", callers), AvailabilityZone(zone))
    }

    private fun readTraits(): UpstreamSettings = UpstreamSettings(
        id = UpstreamId(settings.text("--id", id)),
        pool = PoolName(settings.text("--pool", pool)),
        keyed = settings.text("--keyed", keyed, "true").toBooleanStrictOrNull()
            ?: true.also { settings.reject("--keyed", keyed.orEmpty(), "true, false") },
        concurrency = settings.int("--concurrency", concurrency, CONCURRENCY_RANGE, 2),
        service = settings.millis("--service", service, SERVICE_RANGE_MILLIS, DEFAULT_SERVICE_MILLIS),
    )

    private companion object {
        val VM_PATTERN = Regex("([^=@]+)=([^@/]+)/([^@]+)@(.+)")
        const val DEFAULT_LAG_MILLIS = 3_000
        const val DEFAULT_SERVICE_MILLIS = 5
        val LAG_RANGE_MILLIS = 0..600_000
        val SERVICE_RANGE_MILLIS = 0..60_000
        val CONCURRENCY_RANGE = 1..10_000
    }
}
