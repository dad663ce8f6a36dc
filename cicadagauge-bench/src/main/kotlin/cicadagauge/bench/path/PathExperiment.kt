package cicadagauge.bench.path

import cicadagauge.bench.Options
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.Address
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.InProcessDeployment
import cicadagauge.standins.deployment.PoolShape
import cicadagauge.standins.deployment.Traffic
import cicadagauge.standins.load.LoadGenerator
import cicadagauge.standins.load.LoadRequest
import cicadagauge.standins.load.LoadStatistics
import cicadagauge.standins.upstream.UpstreamSettings
import cicadagauge.standins.upstream.UpstreamStandin
import cicadagauge.store.Json
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * `bench path`: compares the latency of the same requests sent over loopback directly to an upstream, through a bare
 * Netty relay and through one entry VM. Prints a line of JSON per path and round, with the ratios to the bare relay.
 */
class PathExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--rate", "--seconds", "--rounds"))
    private val rate = options.int("--rate", default = 5_900)
    private val length = options.int("--seconds", default = 5).seconds
    private val rounds = options.int("--rounds", default = 3)
    private val shape = DeploymentShape(
        zones = listOf("a"),
        pools = listOf(PoolShape("echo", 4, keyed = true)),
        traffic = listOf(Traffic("echo", "GET", "/echo/{key}", "echo", RequestClass.Normal, true, weight = 1)),
        concurrency = AMPLE_LIMIT,
        connections = AMPLE_LIMIT,
        zoneDelay = Duration.ZERO,
        callerDelay = 1.milliseconds,
        customerRates = listOf(AMPLE_RATE_PER_SECOND),
        entryVms = 1,
    )

    /** Runs the three paths in turn. Always returns true, as the experiment checks no bound. */
    fun run(): Boolean {
        val upstreamGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val callerGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val relayGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val traits = UpstreamSettings(
            id = UpstreamId("direct"),
            pool = PoolName("direct"),
            keyed = false,
            concurrency = AMPLE_LIMIT,
            service = Duration.ZERO,
            coldTime = Duration.ZERO,
        )
        val direct = UpstreamStandin(upstreamGroup, Address("127.0.0.1", 0), traits, "secret").start()
        val target = Address("127.0.0.1", direct.port)
        val relay = BareRelay(relayGroup, target).start()
        val deployment = InProcessDeployment(
            shape,
            vmCount = 1,
            FIRST_PORT,
            service = Duration.ZERO,
            coldTime = Duration.ZERO,
        ).start()
        val paths = listOf(
            RequestPath("direct", target),
            RequestPath("bare relay", relay.address),
            RequestPath("entry VM", deployment.callers.first()),
        )
        paths.forEach { measure(callerGroup, it, WARM_UP_TIME) }
        repeat(rounds) { round -> report(round + 1, paths.map { it to measure(callerGroup, it, length) }) }
        deployment.stop()
        listOf(upstreamGroup, callerGroup, relayGroup).forEach { it.shutdownGracefully() }
        return true
    }

    private fun measure(callerGroup: MultiThreadIoEventLoopGroup, path: RequestPath, length: Duration): LoadStatistics =
        LoadGenerator(callerGroup, CONNECTIONS).run(rate, length) { number ->
            LoadRequest(path.target, "GET", "/echo/key-${number % KEY_COUNT}", shape.apiKeyOf("customer-1"), path.name)
        }.values.single()

    private fun report(round: Int, measured: List<Pair<RequestPath, LoadStatistics>>) {
        val baseline = measured.first { it.first.name == "bare relay" }.second
        for ((path, figures) in measured) {
            val p50 = figures.latencyMicros.getValueAtPercentile(P50)
            val p99 = figures.latencyMicros.getValueAtPercentile(P99)
            val line = Line(
                way = path.name,
                round = round,
                ratePerSecond = rate,
                answered = figures.answered,
                refused = figures.refused,
                lost = figures.lost,
                p50Micros = p50,
                p99Micros = p99,
                p50AgainstBareRelay = p50.toDouble() / baseline.latencyMicros.getValueAtPercentile(P50),
                p99AgainstBareRelay = p99.toDouble() / baseline.latencyMicros.getValueAtPercentile(P99),
            )
            println(Json.mapper.writeValueAsString(line))
        }
    }

    private class RequestPath(val name: String, val target: Address)

    private data class Line(
        val way: String,
        val round: Int,
        val ratePerSecond: Int,
        val answered: Long,
        val refused: Long,
        val lost: Long,
        val p50Micros: Long,
        val p99Micros: Long,
        val p50AgainstBareRelay: Double,
        val p99AgainstBareRelay: Double,
    )

    private companion object {
        const val AMPLE_LIMIT = 10_000
        const val AMPLE_RATE_PER_SECOND = 10_000_000.0
        const val CONNECTIONS = 64
        const val KEY_COUNT = 10_000
        const val FIRST_PORT = 19_080
        const val P50 = 50.0
        const val P99 = 99.0
        val WARM_UP_TIME = 8.seconds
    }
}
