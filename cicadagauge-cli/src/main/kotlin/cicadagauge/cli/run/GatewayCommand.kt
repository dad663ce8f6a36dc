package cicadagauge.cli.run

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.gateway.Gateway
import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.MemoryLimits
import cicadagauge.gateway.environment.DefaultEnvironment
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import cicadagauge.node.NodeSettings
import org.kohsuke.args4j.Option

/** `gateway`: runs one entry VM until SIGTERM, then waits for open requests, at most for `--drain-limit`. */
class GatewayCommand : Command {
    @Option(name = "--vm", usage = "this VM's id")
    var vm: String? = null

    @Option(name = "--zone", usage = "this VM's availability zone")
    var zone: String? = null

    @Option(name = "--callers", usage = "address for callers, host:port")
    var callers: String? = null

    @Option(name = "--control", usage = "address for peers, metrics and health checks, host:port, as in the VM list")
    var control: String? = null

    @Option(name = "--store", usage = "address of the platform store, host:port")
    var store: String? = null

    @Option(name = "--vm-list", usage = "address of the platform's VM list, host:port")
    var vmList: String? = null

    @Option(name = "--secret", usage = "the secret that all VMs and upstreams of the deployment share")
    var secret: String? = null

    @Option(name = "--drain-limit", usage = "most milliseconds that a planned stop may take")
    var drainLimit: String? = null

    @Option(name = "--held-kb", usage = "most kilobytes to hold for callers; a part of the heap by default")
    var heldKb: String? = null

    @Option(name = "--descriptors", usage = "file descriptors that the process may have; its own limit by default")
    var descriptors: String? = null

    override fun run(console: Console): ExitCode {
        val settings = Settings()
        val gateway = readGatewaySettings(settings)
        val storeAddress = settings.address("--store", store)
        val vmListAddress = settings.address("--vm-list", vmList)
        val limit = settings.millis("--drain-limit", drainLimit, DRAIN_LIMIT_RANGE_MILLIS, DEFAULT_DRAIN_LIMIT_MILLIS)
        if (settings.problems.isNotEmpty()) {
            settings.problems.forEach(console::printError)
            return ExitCode.Usage
        }
        val running = Gateway(gateway, DefaultEnvironment(gateway, storeAddress, vmListAddress)).start()
        console.println("entry VM ${gateway.node.vm} takes callers on ${gateway.callers}, peers on ${gateway.control}")
        return Daemon(running).runUntilStopped(limit)
    }

    private fun readGatewaySettings(settings: Settings): GatewaySettings = GatewaySettings(
        node = NodeSettings(
            vm = VmId(settings.text("--vm", vm)),
            zone = AvailabilityZone(settings.text("--zone", zone)),
        ),
        callers = settings.address("--callers", callers),
        control = settings.address("--control", control),
        secret = settings.text("--secret", secret),
        memory = MemoryLimits().let { default ->
            val mostKilobytes = (Runtime.getRuntime().maxMemory() / KILOBYTE).toInt()
            val kilobytes = settings.int("--held-kb", heldKb, 1..mostKilobytes, (default.heldBytes / KILOBYTE).toInt())
            default.copy(heldBytes = kilobytes.toLong() * KILOBYTE)
        },
        descriptors = settings.int("--descriptors", descriptors, DESCRIPTOR_RANGE, ProcessLimits.descriptors()),
    )

    private companion object {
        const val KILOBYTE = 1_024
        val DESCRIPTOR_RANGE = 1..Int.MAX_VALUE
        const val DEFAULT_DRAIN_LIMIT_MILLIS = 10_000
        val DRAIN_LIMIT_RANGE_MILLIS = 100..600_000
    }
}
