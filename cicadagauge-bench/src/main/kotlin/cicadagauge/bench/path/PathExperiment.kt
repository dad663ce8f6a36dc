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
import cicadagauge.standins.load.LoadFigures
import cicadagauge.standins.load.LoadGenerator
import cicadagauge.standins.load.LoadRequest
import cicadagauge.standins.upstream.UpstreamStandin
import cicadagauge.standins.upstream.UpstreamTraits
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
        concurrency = AMPLE,
        connections = AMPLE,
        zoneDelay = Duration.ZERO,
        callerDelay = 1.milliseconds,
        customerRates = listOf(RATE),
        entryVms = 1,
    )

    /** Runs the three paths in turn. Always returns true, as the experiment checks no bound. */
    fun run(): Boolean {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val callers = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val relays = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val traits = UpstreamTraits(
            id = UpstreamId("direct"),
            pool = PoolName("direct"),
            keyed = false,
            concurrency = AMPLE,
            service = Duration.ZERO,
            coldTime = Duration.ZERO,
        )
        val direct = UpstreamStandin(group, Address("127.0.0.1", 0), traits, "secret").start()
        val target = Address("127.0.0.1", direct.port)
        val relay = BareRelay(relays, target).start()
        val deployment = InProcessDeployment(
            shape,
            vmCount = 1,
            PORT_BASE,
            service = Duration.ZERO,
            coldTime = Duration.ZERO,
        ).start()
        val ways =
            listOf(Way("direct", target), Way("bare relay", relay.address), Way("entry VM", deployment.callers.first()))
        ways.forEach { measure(callers, it, WARM_UP) }
        repeat(rounds) { round -> report(round + 1, ways.map { it to measure(callers, it, length) }) }
        deployment.stop()
        listOf(group, callers, relays).forEach { it.shutdownGracefully() }
        return true
    }

    private fun measure(callers: MultiThreadIoEventLoopGroup, way: Way, length: Duration): LoadFigures =
        LoadGenerator(callers, CONNECTIONS).run(rate, length) { number ->
            LoadRequest(way.target, "GET", "/echo/key-${number % KEYS}", shape.keyOf("customer-1"), way.name)
        }.values.single()

    private fun report(round: Int, measured: List<Pair<Way, LoadFigures>>) {
        val floor = measured.first { it.first.name == "bare relay" }.second
        for ((way, figures) in measured) {
            val p50 = figures.micros.getValueAtPercentile(MEDIAN)
            val p99 = figures.micros.getValueAtPercentile(TAIL)
            val line = Line(
                way = way.name,
                round = round,
                ratePerSecond = rate,
                answered = figures.answered,
                refused = figures.refused,
                lost = figures.lost,
                p50Micros = p50,
                p99Micros = p99,
                p50AgainstBareRelay = p50.toDouble() / floor.micros.getValueAtPercentile(MEDIAN),
                p99AgainstBareRelay = p99.toDouble() / floor.micros.getValueAtPercentile(TAIL),
            )
            println(Json.mapper.writeValueAsString(line))
        }
    }

    private class Way(val name: String, val target: Address)

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
        const val AMPLE = 10_000
        const val RATE = 10_000_000.0
        const val CONNECTIONS = 64
        const val KEYS = 10_000
        const val PORT_BASE = 19_080
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        val WARM_UP = 8.seconds
    }
}
