package cicadagauge.admission

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.HostPrefix
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Route
import cicadagauge.declaration.Upstream
import cicadagauge.dispatch.Dispatcher
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.KeyHash
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.identity.RouteName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.UpstreamReachability
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.BudgetSettings
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.HomePolicy
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.RequestHead
import cicadagauge.node.Timers
import cicadagauge.outcome.Reason
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import cicadagauge.store.StoreClient
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val KEY = "key"

private class Head(override val customerKey: String?) : RequestHead {
    override val method = "GET"
    override val path = "/a/b"
    override val query: String? = null
    override val deadline: Duration? = null
    override val host = "h.example"

    override fun header(name: String): String? = null
}

/** One VM with one route, and with an upstream for each request. */
private class AdmissionFixture {
    private val effects = Effects()
    private val timers = Timers()
    private val zone = AvailabilityZone("a")
    private val vms = VmDirectory(VmId("vm"), zone, effects)
    private val upstreams = List(4) { Upstream(UpstreamId("u$it"), Address("u$it", 1), zone) }
    private val pool = Pool(name = PoolName("p"), upstreams = upstreams, keyed = false)
    private val route = Route(
        name = RouteName("r"),
        path = "",
        methods = emptySet(),
        pool = pool.name,
        prefix = HostPrefix("h.example", "/a/"),
    )
    private val customer = Customer(
        name = CustomerName("club"),
        ratePerSecond = 0.0,
        burst = 0,
        keyHashes = setOf(
            KeyHash(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(KEY.toByteArray()))),
        ),
    )
    private val budgetSettings = BudgetSettings()
    private val seats = SeatHolder(vms, StoreClient(effects), timers, budgetSettings, Moment.ZERO) { }
    private val budgets = CustomerBudgets(vms, seats, budgetSettings, timers, Moment.ZERO)
    private val quarantineSettings = QuarantineSettings()
    private val quarantine = RequestQuarantine(quarantineSettings, effects) { _, _ -> }
    private val reachability = UpstreamReachability(vms, ReachabilitySettings(), timers, effects) { _, _ -> }
    private val dispatcher = Dispatcher(
        vms = vms,
        owners = OwnerDirectory(),
        settings = DispatchSettings(homes = HomePolicy.Local),
        quarantine = quarantine,
        crashDetector = CrashDetector(quarantineSettings, quarantine, effects, reachability),
        reachability = reachability,
        timers = timers,
        effects = effects,
        coldUntil = { Moment.PAST },
    )
    private val admission = RequestAdmission(OwnerDirectory(), budgets, dispatcher, effects)
    private var lastId = 0L

    init {
        vms.update(listOf(Vm(vms.self, Address("vm", 1), Address("vm", 1), zone)), Moment.ZERO)
    }

    fun configure(requiresCustomerKey: Boolean, customers: List<Customer> = emptyList()) {
        val declaration = Declaration(
            zones = setOf(zone),
            pools = listOf(pool),
            routes = listOf(route),
            customers = customers,
            requiresCustomerKey = requiresCustomerKey,
        )
        admission.configure(declaration)
        dispatcher.configure(declaration, Moment.ZERO)
    }

    fun configureWithCustomer(): Unit = configure(requiresCustomerKey = true, customers = listOf(customer))

    /** What becomes of a request with [key]: its refusal, or its way to the upstream. */
    fun outcomeOf(key: String?): Effect {
        val id = RequestId(lastId++)
        admission.arrived(id, Head(key), Moment.ZERO)
        return effects.take().first { (it is Effect.Refuse && it.id == id) || (it is Effect.Forward && it.id == id) }
    }
}

private val Effect.refusedFor: Reason? get() = (this as? Effect.Refuse)?.refusal?.reason

class RequestAdmissionTest :
    FunSpec({
        test("without a list of customers, requests need no key, and a key that is sent names no customer") {
            val fixture = AdmissionFixture()
            fixture.configure(requiresCustomerKey = false)
            fixture.outcomeOf(key = null).refusedFor shouldBe null
            (fixture.outcomeOf(KEY) as Effect.Forward).customer shouldBe null
        }

        test("with an empty list of customers, every request is refused") {
            val fixture = AdmissionFixture()
            fixture.configure(requiresCustomerKey = true)
            fixture.outcomeOf(key = null).refusedFor shouldBe Reason.Unauthenticated
            fixture.outcomeOf(KEY).refusedFor shouldBe Reason.Unauthenticated
        }

        test("a version that adds or drops the list of customers takes effect with the next request") {
            val fixture = AdmissionFixture()
            fixture.configure(requiresCustomerKey = false)
            fixture.configureWithCustomer()
            fixture.outcomeOf(key = null).refusedFor shouldBe Reason.Unauthenticated
            (fixture.outcomeOf(KEY) as Effect.Forward).customer shouldBe CustomerName("club")
            fixture.configure(requiresCustomerKey = false)
            fixture.outcomeOf(key = null).refusedFor shouldBe null
        }

        test("time that a caller has waited before it came back counts toward the target latency") {
            val route = Route(
                name = RouteName("r"),
                path = "",
                methods = emptySet(),
                pool = PoolName("p"),
                deadline = 1.5.seconds,
                targetLatency = 0.6.seconds,
            )
            route.inTimeBy(limit = 1.5.seconds, Moment.ZERO) shouldBe Moment.ZERO + 0.6.seconds
            route.inTimeBy(limit = 1.2.seconds, Moment.ZERO) shouldBe Moment.ZERO + 0.3.seconds
            route.inTimeBy(limit = 9.seconds, Moment.ZERO) shouldBe Moment.ZERO + 0.6.seconds
            route.copy(targetLatency = null).inTimeBy(limit = 1.2.seconds, Moment.ZERO) shouldBe null
        }
    })
