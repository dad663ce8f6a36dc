package cicadagauge.cli.run

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.identity.PoolName
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.InProcessDeployment
import cicadagauge.standins.load.LoadFigures
import cicadagauge.standins.load.LoadGenerator
import cicadagauge.standins.load.LoadRequest
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.kohsuke.args4j.Option
import java.util.Random
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

/**
 * `local`: runs three entry VMs with stand-ins in one process under a bounded load, and prints the results by request
 * class. Exits with [ExitCode.Failed] if a request was lost or still open at the stop.
 */
class LocalCommand : Command {
    @Option(name = "--seconds", usage = "duration of the load")
    var seconds: String? = null

    @Option(name = "--rate", usage = "requests per second")
    var rate: String? = null

    @Option(name = "--port", usage = "base port: ports for callers start at base + 1, control ports at base + 21")
    var port: String? = null

    @Option(name = "--stay", usage = "keep running after the load, for manual requests")
    var stay: Boolean = false

    private val shape = DeploymentShape.HOSHIZORA.copy(entryVms = VM_COUNT)

    override fun run(console: Console): ExitCode {
        val settings = Settings()
        val length = settings.int("--seconds", seconds, SECONDS_RANGE, DEFAULT_SECONDS).seconds
        val perSecond = settings.int("--rate", rate, RATE_RANGE, DEFAULT_RATE)
        val base = settings.int("--port", port, PORT_RANGE, DEFAULT_PORT)
        if (settings.problems.isNotEmpty()) {
            settings.problems.forEach(console::printError)
            return ExitCode.Usage
        }
        // Keeps the log out of the results on standard output.
        System.setProperty("cicadagauge.log.target", "SYSTEM_ERR")
        console.println(
            "starting $VM_COUNT entry VMs, a store, a VM list and ${shape.pools.sumOf {
                it.instances
            }} upstreams on loopback",
        )
        val deployment = InProcessDeployment(shape, VM_COUNT, base).start()
        console.println("ready; sending $perSecond requests per second for $length")
        val callers = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val random = Random(SEED)
        val figures = LoadGenerator(callers).run(perSecond, length) { request(deployment, random, it) }
        callers.shutdownGracefully()
        show(deployment, figures, console)
        if (stay) return stayUp(deployment, console)
        val whole = deployment.stop()
        val lost = figures.values.sumOf { it.lost }
        return if (whole && lost == 0L) ExitCode.Ok else ExitCode.Failed
    }

    private fun request(deployment: InProcessDeployment, random: Random, number: Int): LoadRequest {
        val traffic = shape.traffic[pick(random, shape.traffic.map { it.weight })]
        val customer = shape.customers[pick(random, shape.customerRates.map { it.toInt() })]
        return LoadRequest(
            target = deployment.callers[number % VM_COUNT],
            method = traffic.method,
            path = traffic.path.replace("{key}", "club-${random.nextInt(KEYS)}"),
            key = shape.keyOf(customer),
            label = "${traffic.route} (${traffic.requestClass.name.lowercase()})",
            body = if (traffic.method == "POST") BODY else ByteArray(0),
        )
    }

    /** A random index into [weights], with a probability proportional to its weight. */
    private fun pick(random: Random, weights: List<Int>): Int {
        var left = random.nextInt(weights.sum())
        return weights.indexOfFirst { weight ->
            left -= weight
            left < 0
        }
    }

    private fun show(deployment: InProcessDeployment, figures: Map<String, LoadFigures>, console: Console) {
        console.println(
            "%-28s %8s %9s %8s %6s %9s %9s".format("class", "sent", "answered", "refused", "lost", "p50 ms", "p99 ms"),
        )
        for ((label, figure) in figures) {
            val p50 = figure.micros.getValueAtPercentile(MEDIAN) / MICROS
            val p99 = figure.micros.getValueAtPercentile(TAIL) / MICROS
            console.println(
                "%-28s %8d %9d %8d %6d %9.2f %9.2f"
                    .format(label, figure.sent, figure.answered, figure.refused, figure.lost, p50, p99),
            )
        }
        val reasons = figures.values.flatMap { it.reasons.entries }.groupBy({ it.key }, { it.value })
        if (reasons.isNotEmpty()) {
            console.println(
                "refused: " + reasons.entries.joinToString { "${it.key} ${it.value.sum()}" },
            )
        }
        val status = deployment.gateways.first().statusNow()
        status.pools.forEach {
            console.println("owner changes of ${it.pool}: ${it.version.value - 1}, allocator ${it.allocator}")
        }
        for (pool in shape.pools) {
            val served = deployment.served(PoolName(pool.name))
            console.println(
                "imbalance of ${pool.name} (most served / mean): %.2f".format(served.max() / served.average()),
            )
        }
        console.println(
            "overloads at upstreams: ${deployment.overloads()}, calls on the store: ${deployment.storeCalls}",
        )
    }

    private fun stayUp(deployment: InProcessDeployment, console: Console): ExitCode {
        val key = shape.keyOf(shape.customers.first())
        console.println("still running; stop with Ctrl-C. Try:")
        console.println("  curl -i -H 'x-api-key: $key' http://${deployment.callers.first()}/catalogue/club-7")
        console.println("  curl -i http://${deployment.callers.first()}/catalogue/club-7")
        console.println(
            "  bin/cicadagauge status --secret ${InProcessDeployment.SECRET} --vms ${deployment.controls.joinToString(
                ",",
            )}",
        )
        console.println("  bin/cicadagauge zone out ${shape.zones.first()} --store ${deployment.storeAddress}")
        CountDownLatch(1).await()
        return ExitCode.Ok
    }

    private companion object {
        const val VM_COUNT = 3
        const val SEED = 7L
        const val KEYS = 5_000
        const val MICROS = 1_000.0
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val DEFAULT_SECONDS = 10
        const val DEFAULT_RATE = 600
        const val DEFAULT_PORT = 18_080
        val SECONDS_RANGE = 1..3_600
        val RATE_RANGE = 1..20_000
        val PORT_RANGE = 1_024..65_000
        val BODY = """{"clocks":2}""".toByteArray()
    }
}
