/*
 * The operators' configuration: routes and pools, which refer to each other by name, customers and availability zones.
 * A declaration is immutable. It is validated as a whole before it is accepted, and replaced as a whole.
 */
package cicadagauge.declaration

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Incarnation
import cicadagauge.identity.KeyHash
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName
import cicadagauge.identity.UpstreamId
import kotlin.time.Duration

/**
 * A validated declaration.
 *
 * @property entryVms number of entry VMs in the deployment, or [DeclarationDefaults.DYNAMIC_ENTRY_VMS]. A VM that can't
 * coordinate a customer's budget with the other VMs admits the customer's rate divided by the number of entry VMs.
 * @property zonesOut availability zones that operators have taken out of service.
 * @property upstreamsOut upstreams that operators have taken out of service.
 * @property requiresCustomerKey whether requests need a customer's key, except on open routes; if not, keys are neither
 * checked nor passed on.
 */
public data class Declaration(
    val zones: Set<AvailabilityZone>,
    val pools: List<Pool>,
    val routes: List<Route>,
    val customers: List<Customer>,
    val entryVms: Int = DeclarationDefaults.ENTRY_VMS,
    val zonesOut: Set<AvailabilityZone> = emptySet(),
    val upstreamsOut: Set<UpstreamId> = emptySet(),
    val requiresCustomerKey: Boolean = DeclarationDefaults.REQUIRES_CUSTOMER_KEY,
) {
    /** Returns the pool called [name], or null if it is not declared. */
    public fun pool(name: PoolName): Pool? = pools.firstOrNull { it.name == name }

    /** Whether [upstream] gets no new requests: it is draining, or operators have taken it or its zone out. */
    public fun isOut(upstream: Upstream): Boolean =
        upstream.isDraining || upstream.id in upstreamsOut || upstream.zone in zonesOut
}

/**
 * A group of upstreams that serve the same routes.
 *
 * @property keyed whether each slot is owned by exactly one upstream, which serves all requests for its keys.
 * @property slots number of slots that the keys of a keyed pool are mapped to.
 * @property fenced whether the upstreams refuse requests for slots for which they hold no grant.
 * @property concurrency maximum number of requests that one upstream runs at a time, unless [Upstream.concurrency]
 * is set.
 * @property connections maximum number of connections from one VM to one upstream.
 * @property placement how slots are assigned to the upstreams of a keyed pool.
 * @property coldStart limit on the requests to an upstream that has just started; null for no limit.
 * @property isDiscovered whether the upstreams register themselves in the platform store instead of being declared.
 */
public data class Pool(
    val name: PoolName,
    val upstreams: List<Upstream>,
    val keyed: Boolean = DeclarationDefaults.KEYED,
    val slots: Int = DeclarationDefaults.SLOTS,
    val fenced: Boolean = DeclarationDefaults.FENCED,
    val concurrency: Int = DeclarationDefaults.CONCURRENCY,
    val connections: Int = DeclarationDefaults.CONNECTIONS,
    val placement: Placement = Placement.Hashed,
    val coldStart: ColdStart? = null,
    val isDiscovered: Boolean = false,
)

/** How the slots of a keyed pool are assigned to its upstreams. */
public enum class Placement {
    /** Keys are hashed to slots, and every VM derives the owner of a slot by rendezvous hashing. */
    Hashed,

    /** A key is the number of its slot. Each upstream owns contiguous ranges, which the ownership record lists. */
    Ranges,
}

/**
 * Limit on the requests to an upstream that is cold.
 *
 * @property ratePerSecond maximum number of requests per second.
 */
public data class ColdStart(val ratePerSecond: Double)

/**
 * A server to which the router forwards requests.
 *
 * @property run the current process of the upstream, or null if it is not known.
 * @property concurrency maximum number of requests that it runs at a time; null for [Pool.concurrency].
 * @property isDraining whether it accepts no new requests.
 * @property coldFor how long it remains cold, counted from when the VM received this information.
 */
public data class Upstream(
    val id: UpstreamId,
    val address: Address,
    val zone: AvailabilityZone,
    val run: Incarnation? = null,
    val concurrency: Int? = null,
    val isDraining: Boolean = false,
    val coldFor: Duration = Duration.ZERO,
)

/**
 * Selects requests and defines how they are handled.
 *
 * @property path path pattern, see [cicadagauge.routing.PathPattern]; not used if [prefix] is set.
 * @property methods HTTP methods in upper case; not used if [prefix] is set.
 * @property key where the request carries its key; null if the pool is not keyed.
 * @property requestClass priority of the requests, unless [Customer.requestClass] is set.
 * @property idempotent whether a request that may have run can be sent to an upstream again.
 * @property deadline maximum time from the arrival of a request to its answer; a caller can only shorten it.
 * @property open whether requests are accepted without a customer's key.
 * @property prefix host and path prefix to match instead of [methods] and [path].
 * @property split pools among which the requests are divided by weight; if empty, all go to [pool].
 * @property targetLatency time from a caller's first attempt within which an answer is in time; null if any answer
 * before the deadline is. Where upstreams are short, requests that can be answered in time go first.
 * @property maxAttempts maximum number of times that an idempotent request may run at upstreams.
 */
public data class Route(
    val name: RouteName,
    val path: String,
    val methods: Set<String>,
    val pool: PoolName,
    val key: KeySource? = null,
    val requestClass: RequestClass = RequestClass.Normal,
    val idempotent: Boolean = false,
    val deadline: Duration = DeclarationDefaults.DEADLINE,
    val open: Boolean = false,
    val prefix: HostPrefix? = null,
    val split: List<PoolShare> = emptyList(),
    val maxAttempts: Int = DeclarationDefaults.MAX_ATTEMPTS,
    val targetLatency: Duration? = null,
)

/**
 * Matches requests for [host] whose path starts with [path]. The longest matching prefix is selected. A route with a
 * prefix accepts every method and has no path pattern.
 *
 * @property path path prefix, which starts and ends with a slash.
 */
public data class HostPrefix(val host: String, val path: String)

/** Sends the fraction [weight] / (sum of the route's weights) of a route's requests to [pool]. */
public data class PoolShare(val pool: PoolName, val weight: Int)

/**
 * A caller's account.
 *
 * @property ratePerSecond maximum average number of requests per second over all VMs together; zero for no limit.
 * @property burst maximum number of requests that are admitted at once after a pause, over all VMs together.
 * @property keyHashes hashes of the keys by which the customer's requests are recognised.
 * @property requestClass priority of the customer's requests; null for [Route.requestClass].
 */
public data class Customer(
    val name: CustomerName,
    val ratePerSecond: Double,
    val burst: Int,
    val keyHashes: Set<KeyHash>,
    val requestClass: RequestClass? = null,
) {
    /** Whether the customer's requests are rate limited. */
    val isLimited: Boolean get() = ratePerSecond > 0.0
}

/** Where a request carries the routing key, which determines the upstream that serves it. */
public sealed interface KeySource {
    /** The path segment that matches `{name}` in the route's path pattern. */
    public data class PathSegment(val name: String) : KeySource

    /** The header called [name], in lower case. */
    public data class Header(val name: String) : KeySource

    /** The query parameter called [name]. */
    public data class QueryParameter(val name: String) : KeySource
}

/** The priority of a request; the entries are in descending order of priority. */
public enum class RequestClass { Urgent, Normal, Bulk }
