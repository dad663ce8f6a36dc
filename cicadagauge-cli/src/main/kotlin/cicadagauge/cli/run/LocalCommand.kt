package cicadagauge.cli.run

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.identity.PoolName
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.InProcessDeployment
import cicadagauge.standins.load.LoadGenerator
import cicadagauge.standins.load.LoadRequest
import cicadagauge.standins.load.LoadStatistics
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
        val duration = settings.int("--seconds", seconds, SECONDS_RANGE, DEFAULT_SECONDS).seconds
        val requestsPerSecond = settings.int("--rate", rate, REQUESTS_PER_SECOND_RANGE, DEFAULT_REQUESTS_PER_SECOND)
        val basePort = settings.int("--port", port, BASE_PORT_RANGE, DEFAULT_BASE_PORT)
        if (settings.problems.isNotEmpty()) {
            settings.problems.forEach(console::printError)
            return ExitCode.Usage
        }
        // Keeps the log out of the results on standard output.
        System.setProperty("cicadagauge.log.target", "SYSTEM_ERR")
        console.println(
            "starting $VM_COUNT entry VMs, a store, a VM list and ${shape.pools.sumOf {
                it.upstreamCount
            }} upstreams on loopback",
        )
        val deployment = InProcessDeployment(shape, VM_COUNT, basePort).start()
        console.println("ready; sending $requestsPerSecond requests per second for $duration")
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val random = Random(SEED)
        val figures = LoadGenerator(eventLoops).run(requestsPerSecond, duration) {
            randomRequest(deployment, random, it)
        }
        eventLoops.shutdownGracefully()
        printResults(deployment, figures, console)
        if (stay) return keepRunning(deployment, console)
        val isCleanStop = deployment.stop()
        val lostRequests = figures.values.sumOf { it.lost }
        return if (isCleanStop && lostRequests == 0L) ExitCode.Ok else ExitCode.Failed
    }

    private fun randomRequest(deployment: InProcessDeployment, random: Random, requestNumber: Int): LoadRequest {
        val traffic = shape.traffic[randomWeightedIndex(random, shape.traffic.map { it.weight })]
        val customer = shape.customers[randomWeightedIndex(random, shape.customerRates.map { it.toInt() })]
        return LoadRequest(
            target = deployment.callers[requestNumber % VM_COUNT],
            method = traffic.method,
            path = traffic.path.replace("{key}", "club-${random.nextInt(KEY_COUNT)}"),
            key = shape.apiKeyOf(customer),
            label = "${traffic.route} (${traffic.requestClass.name.lowercase()})",
            body = if (traffic.method == "POST") BODY else ByteArray(0),
        )
    }

    /** A random index into [weights], with a probability proportional to its weight. */
    private fun randomWeightedIndex(random: Random, weights: List<Int>): Int {
        var remaining = random.nextInt(weights.sum())
        return weights.indexOfFirst { weight ->
            remaining -= weight
            remaining < 0
        }
    }

    private fun printResults(deployment: InProcessDeployment, figures: Map<String, LoadStatistics>, console: Console) {
        console.println(
            "%-28s %8s %9s %8s %6s %9s %9s".format("class", "sent", "answered", "refused", "lost", "p50 ms", "p99 ms"),
        )
        for ((label, figure) in figures) {
            val p50 = figure.latencyMicros.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLISECOND
            val p99 = figure.latencyMicros.getValueAtPercentile(TAIL_PERCENTILE) / MICROS_PER_MILLISECOND
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

    private fun keepRunning(deployment: InProcessDeployment, console: Console): ExitCode {
        val key = shape.apiKeyOf(shape.customers.first())
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
        const val KEY_COUNT = 5_000
        const val MICROS_PER_MILLISECOND = 1_000.0
        const val MEDIAN_PERCENTILE = 50.0
        const val TAIL_PERCENTILE = 99.0
        const val DEFAULT_SECONDS = 10
        const val DEFAULT_REQUESTS_PER_SECOND = 600
        const val DEFAULT_BASE_PORT = 18_080
        val SECONDS_RANGE = 1..3_600
        val REQUESTS_PER_SECOND_RANGE = 1..20_000
        val BASE_PORT_RANGE = 1_024..65_000
        val BODY = """{"clocks":2}""".toByteArray()
    }
}
