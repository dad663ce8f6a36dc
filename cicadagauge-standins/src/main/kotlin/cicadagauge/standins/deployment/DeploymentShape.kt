/*
 * Models of the two deployments that the router is built for, with their availability zones, pools, routes and
 * customers. The local run and the benchmarks use them.
 */
package cicadagauge.standins.deployment

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationDefaults
import cicadagauge.declaration.KeySource
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.declaration.Route
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.KeyHash
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName
import cicadagauge.identity.UpstreamId
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The size of one pool: how many upstreams it has, and whether it is [keyed]. */
public data class PoolShape(val name: String, val upstreamCount: Int, val keyed: Boolean)

/**
 * The requests that callers send to one route. [path] is the route's pattern, and [weight] is the route's part of the
 * load, relative to the sum of all weights.
 */
public data class Traffic(
    val route: String,
    val method: String,
    val path: String,
    val pool: String,
    val requestClass: RequestClass,
    val idempotent: Boolean,
    val weight: Int,
)

/**
 * The size and load of one deployment.
 *
 * @property zones the names of the availability zones
 * @property pools the pools of upstreams
 * @property traffic the routes with the requests that callers send to them
 * @property concurrency how many requests each upstream runs at a time
 * @property connections how many connections each upstream takes
 * @property zoneDelay one-way network delay between two availability zones
 * @property callerDelay one-way network delay between callers and entry VMs
 * @property customerRates how many requests a second each customer may send, the largest first; the burst of each is
 * one second of its rate
 * @property entryVms how many entry VMs the declaration states
 * @property deadline the deadline of every route
 */
public data class DeploymentShape(
    val zones: List<String>,
    val pools: List<PoolShape>,
    val traffic: List<Traffic>,
    val concurrency: Int,
    val connections: Int,
    val zoneDelay: Duration,
    val callerDelay: Duration,
    val customerRates: List<Double>,
    val entryVms: Int = 9,
    val deadline: Duration = DeclarationDefaults.DEADLINE,
) {
    /** The customers' names, in the order of [customerRates]. */
    public val customers: List<String> get() = customerRates.indices.map { "customer-${it + 1}" }

    /** The API key of [customer] in tests and local runs. */
    public fun apiKeyOf(customer: String): String = "local-key-of-$customer"

    /** The upstreams of [pool], assigned to the zones in turn; [address] returns the address of each. */
    public fun upstreams(pool: PoolShape, address: (UpstreamId) -> Address): List<Upstream> =
        (1..pool.upstreamCount).map {
            val id = UpstreamId("${pool.name}-$it")
            Upstream(id, address(id), AvailabilityZone(zones[it % zones.size]))
        }

    /** The declaration of this deployment; [address] is called once for each upstream and returns its address. */
    public fun declaration(address: (UpstreamId) -> Address): Declaration = Declaration(
        zones = zones.map(::AvailabilityZone).toSet(),
        entryVms = entryVms,
        pools = pools.map { pool ->
            Pool(
                name = PoolName(pool.name),
                keyed = pool.keyed,
                concurrency = concurrency,
                connections = connections,
                upstreams = upstreams(pool, address),
            )
        },
        routes = traffic.map { route(it) },
        customers = customerRates.mapIndexed { index, rate ->
            Customer(
                CustomerName(customers[index]),
                rate,
                burst = rate.toInt(),
                keyHashes = setOf(hash(apiKeyOf(customers[index]))),
            )
        },
    )

    private fun route(traffic: Traffic) = Route(
        name = RouteName(traffic.route),
        path = traffic.path,
        methods = setOf(traffic.method),
        pool = PoolName(traffic.pool),
        key = if (pools.first { it.name == traffic.pool }.keyed) KeySource.PathSegment("key") else null,
        requestClass = traffic.requestClass,
        idempotent = traffic.idempotent,
        deadline = deadline,
    )

    public companion object {
        private val CUSTOMER_RATES_PER_SECOND = listOf(900.0, 600.0, 150.0, 150.0, 100.0, 100.0, 50.0, 50.0)

        /** Lends chess clocks. Tail latency matters most to it. */
        public val HOSHIZORA: DeploymentShape = DeploymentShape(
            zones = listOf("sapporo", "asahikawa", "hakodate"),
            pools = listOf(
                PoolShape("catalogue", 15, keyed = true),
                PoolShape("loans", 7, keyed = true),
                PoolShape("returns", 6, keyed = true),
                PoolShape("arbiter", 6, keyed = false),
            ),
            traffic = listOf(
                Traffic(
                    "catalogue-read",
                    "GET",
                    "/catalogue/{key}",
                    "catalogue",
                    RequestClass.Normal,
                    true,
                    weight = 60,
                ),
                Traffic("loan", "POST", "/loans/{key}", "loans", RequestClass.Normal, false, weight = 15),
                Traffic("return", "POST", "/returns/{key}", "returns", RequestClass.Normal, false, weight = 10),
                Traffic("arbiter-lookup", "GET", "/arbiter/{key}", "arbiter", RequestClass.Urgent, true, weight = 15),
            ),
            concurrency = 2,
            connections = 100,
            zoneDelay = 0.5.milliseconds,
            callerDelay = 1.milliseconds,
            customerRates = CUSTOMER_RATES_PER_SECOND,
        )

        /** Builds attendants' rotas. The worst-served customer and wrongful refusals matter most to it. */
        public val ROTALINE: DeploymentShape = DeploymentShape(
            zones = listOf("victoria", "vancouver", "kelowna"),
            pools = listOf(
                PoolShape("rota-view", 13, keyed = true),
                PoolShape("swap-desk", 8, keyed = true),
                PoolShape("cover-desk", 6, keyed = true),
                PoolShape("floor-watch", 6, keyed = false),
            ),
            traffic = listOf(
                Traffic("rota-read", "GET", "/rota/{key}", "rota-view", RequestClass.Normal, true, weight = 60),
                Traffic("swap", "POST", "/swaps/{key}", "swap-desk", RequestClass.Normal, false, weight = 15),
                Traffic("cover", "POST", "/covers/{key}", "cover-desk", RequestClass.Normal, false, weight = 10),
                Traffic("floor-check", "GET", "/floor/{key}", "floor-watch", RequestClass.Urgent, true, weight = 15),
            ),
            concurrency = 3,
            connections = 50,
            zoneDelay = 1.5.milliseconds,
            callerDelay = 8.milliseconds,
            customerRates = CUSTOMER_RATES_PER_SECOND,
        )

        /** The hash under which the API key [key] is declared: SHA-256 in lower-case hexadecimal. */
        public fun hash(key: String): KeyHash =
            KeyHash(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray())))
    }
}
