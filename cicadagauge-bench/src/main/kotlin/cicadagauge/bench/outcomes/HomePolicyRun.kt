package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.declaration.RequestClass
import cicadagauge.node.DispatchSettings
import cicadagauge.node.HomePolicy
import cicadagauge.node.NodeSettings
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.Traffic
import org.HdrHistogram.Histogram
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Latencies and refusals of one group of requests.
 *
 * @property latencyMicros latencies of the answered requests, in microseconds
 */
class LatencyFigures {
    val latencyMicros = Histogram(60_000_000L, 3)
    var refused = 0
}

/**
 * The result of a run under load.
 *
 * @property overloads requests that reached an upstream without free capacity
 */
class HomePolicyResult(
    val byClass: Map<RequestClass, LatencyFigures>,
    val byCustomer: Map<String, LatencyFigures>,
    val overloads: Long,
)

/**
 * Simulates callers of [shape] under the home [policy]. Each route gets [load] times the capacity of its pool.
 *
 * @param load the offered load as a fraction of capacity
 * @param slowed the number of upstreams of each pool that are periodically 10 times slower; 0 for none
 * @param length how long the load lasts
 */
class HomePolicyRun(
    private val shape: DeploymentShape,
    private val policy: HomePolicy,
    private val load: Double,
    private val seed: Long,
    private val slowed: Int = 0,
    private val length: Duration = 20.seconds,
) {
    private val random = Random(seed)
    private val byClass = RequestClass.entries.associateWith { LatencyFigures() }
    private val byCustomer = shape.customers.associateWith { LatencyFigures() }

    /** Runs the simulation. */
    fun run(): HomePolicyResult {
        val settings = FleetSettings(
            shape = shape.copy(customerRates = shape.customerRates.map { it * RATE_HEADROOM }),
            seed = seed,
            network = NetworkConditions(sameZoneDelay = shape.zoneDelay / 5, crossZoneDelay = shape.zoneDelay),
            coldTime = Duration.ZERO,
            nodeSettings = { vm, zone -> NodeSettings(vm, zone, dispatch = DispatchSettings(homes = policy)) },
        )
        val fleet = VirtualFleet(settings).start()
        fleet.time.advanceBy(SETTLE_TIME)
        val end = fleet.time.now + length.inWholeNanoseconds
        for (traffic in shape.traffic) sendNext(fleet, traffic, end)
        if (slowed > 0) slowDownUpstreams(fleet)
        fleet.time.advanceBy(length)
        return HomePolicyResult(byClass, byCustomer, fleet.upstreams.values.sumOf { it.model.overloads })
    }

    /** Sends requests of one route until [until] as a Poisson process, at the capacity of its pool times the load. */
    private fun sendNext(fleet: VirtualFleet, traffic: Traffic, until: Long) {
        if (fleet.time.now >= until) return
        val pool = shape.pools.first { it.name == traffic.pool }
        val capacityPerSecond = pool.upstreamCount * shape.concurrency / SERVICE_SECONDS
        val gap = -Math.log(1 - random.nextDouble()) / (capacityPerSecond * load) * NANOS_PER_SECOND
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val customer = randomCustomer()
        val begin = fleet.time.now
        val head =
            FakeRequestHead(
                traffic.method,
                traffic.path.replace("{key}", "key-${random.nextInt(KEY_COUNT)}"),
                shape.apiKeyOf(customer),
            )
        fleet.request(vm, head) { result ->
            listOf(byClass.getValue(traffic.requestClass), byCustomer.getValue(customer)).forEach { figures ->
                val micros = (fleet.time.now - begin) / NANOS_PER_MICRO
                if (result is RequestResult.Refused) figures.refused++ else figures.latencyMicros.recordValue(micros)
            }
        }
        fleet.time.after(gap.toLong().nanoseconds) { sendNext(fleet, traffic, until) }
    }

    private fun randomCustomer(): String {
        var remaining = random.nextDouble() * shape.customerRates.sum()
        return shape.customers[
            shape.customerRates.indexOfFirst { rate ->
                remaining -= rate
                remaining <= 0
            },
        ]
    }

    /** Slows random upstreams of each pool for [SLOW_PERIOD], pauses for twice that time and repeats with others. */
    private fun slowDownUpstreams(fleet: VirtualFleet) {
        val chosen = fleet.upstreams.values.groupBy { it.pool }.values.flatMap { it.shuffled(random).take(slowed) }
        chosen.forEach { it.model.slowdown = SLOWDOWN }
        fleet.time.after(SLOW_PERIOD) {
            chosen.forEach { it.model.slowdown = 1 }
            fleet.time.after(SLOW_PERIOD * 2) { slowDownUpstreams(fleet) }
        }
    }

    private companion object {
        const val SERVICE_SECONDS = 0.005
        const val RATE_HEADROOM = 100
        const val KEY_COUNT = 20_000
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MICRO = 1_000L
        const val SLOWDOWN = 10
        val SETTLE_TIME = 8.seconds
        val SLOW_PERIOD = 0.5.seconds
    }
}
