package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.declaration.RequestClass
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effect
import cicadagauge.node.HomePolicy
import cicadagauge.node.NodeSettings
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.PoolShape
import cicadagauge.standins.deployment.Traffic
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The requests of one customer.
 *
 * @property overdraft the number of requests by which rate x time + burst was exceeded in the worst window
 * @property tokenRequests the number of requests for tokens that VMs sent each other
 */
data class RateFigures(
    val offered: Int,
    val admitted: Int,
    val refused: Int,
    val overdraft: Double,
    val tokenRequests: Int,
)

/**
 * Simulates one customer that sends [load] times its permitted rate, spread unevenly over the VMs, and checks the rate
 * limit. With [faults], VMs are paused, replaced and partitioned from their peers at the same time. [network] is that
 * between the VMs. Requests begin after [settleTime], by which each VM should have claimed its seat.
 */
class RateLimitRun(
    private val load: Double,
    private val seed: Long,
    private val faults: Boolean,
    private val length: Duration = 60.seconds,
    private val network: NetworkConditions = if (faults) FAULTY_NETWORK else CALM_NETWORK,
    private val settleTime: Duration = SETTLE_TIME,
) : FleetObserver {
    private val random = Random(seed)
    private val shape = DeploymentShape(
        zones = listOf("a", "b", "c"),
        pools = listOf(PoolShape("open", 1, keyed = false)),
        traffic = listOf(Traffic("all", "GET", "/all", "open", RequestClass.Normal, true, weight = 1)),
        concurrency = AMPLE_LIMIT,
        connections = AMPLE_LIMIT,
        zoneDelay = 1.milliseconds,
        callerDelay = 1.milliseconds,
        customerRates = listOf(RATE_PER_SECOND),
    )
    private var tokens = BURST_REQUESTS
    private var tokensUpdatedAt = 0L
    private var overdraft = 0.0
    private var offered = 0
    private var admitted = 0
    private var refused = 0
    private var tokenRequests = 0
    private var measuring = false

    override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        tokens =
            minOf(BURST_REQUESTS, tokens + (fleet.time.now - tokensUpdatedAt) / NANOS_PER_SECOND * RATE_PER_SECOND) - 1
        tokensUpdatedAt = fleet.time.now
        overdraft = maxOf(overdraft, -tokens)
        if (measuring) admitted++
    }

    override fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, message: PeerMessage) {
        if (measuring && message is PeerMessage.BudgetRequest) tokenRequests++
    }

    /** Runs the simulation. */
    fun run(): RateFigures {
        val dispatch =
            DispatchSettings(homes = HomePolicy.Local, customerQueueLimit = AMPLE_LIMIT, poolQueueLimit = AMPLE_LIMIT)
        val settings = FleetSettings(
            shape = shape,
            seed = seed,
            network = network.copy(connectionDelay = Duration.ZERO),
            coldTime = Duration.ZERO,
            serviceTime = 1.microseconds,
            nodeSettings = { vm, zone -> NodeSettings(vm, zone, dispatch = dispatch) },
        )
        val fleet = VirtualFleet(settings, this).start()
        fleet.time.advanceBy(settleTime)
        measuring = true
        sendNext(fleet, fleet.time.now + length.inWholeNanoseconds)
        if (faults) injectFaults(fleet)
        fleet.time.advanceBy(length)
        return RateFigures(offered, admitted, refused, overdraft, tokenRequests)
    }

    /** Sends requests until [until] as a Poisson process. Half of them go to the first third of the VMs. */
    private fun sendNext(fleet: VirtualFleet, until: Long) {
        if (fleet.time.now >= until) return
        val busy = fleet.vms.take(maxOf(1, fleet.vms.size / BUSY_VM_DIVISOR)).ifEmpty { return }
        val vm =
            if (random.nextBoolean()) busy[random.nextInt(busy.size)] else fleet.vms[random.nextInt(fleet.vms.size)]
        if (vm.isReady()) {
            offered++
            fleet.request(vm, FakeRequestHead("GET", "/all", shape.apiKeyOf("customer-1"))) {
                if (it is RequestResult.Refused) refused++
            }
        }
        val gap = -Math.log(1 - random.nextDouble()) / (RATE_PER_SECOND * load) * NANOS_PER_SECOND
        fleet.time.after(gap.toLong().nanoseconds) { sendNext(fleet, until) }
    }

    private fun injectFaults(fleet: VirtualFleet) {
        fleet.time.after(random.nextInt(MAX_FAULT_DELAY_MILLIS).milliseconds) {
            val vm = fleet.vms[random.nextInt(fleet.vms.size)]
            when (random.nextInt(FAULT_KINDS)) {
                0 -> {
                    fleet.crash(vm)
                    fleet.addVm()
                    fleet.publishVmList()
                }
                1 -> {
                    vm.pause()
                    fleet.time.after(random.nextInt(MAX_FAULT_DELAY_MILLIS).milliseconds) {
                        if (!vm.crashed) vm.resume()
                    }
                }
                else -> {
                    val partition = fleet.network.partition { one, other ->
                        one == vm.endpoint && other.name.startsWith("vm-")
                    }
                    fleet.time.after(random.nextInt(MAX_FAULT_DELAY_MILLIS).milliseconds) { partition.heal() }
                }
            }
            injectFaults(fleet)
        }
    }

    private companion object {
        const val RATE_PER_SECOND = 200.0
        const val BURST_REQUESTS = 200.0
        const val AMPLE_LIMIT = 10_000
        const val NANOS_PER_SECOND = 1e9
        const val MAX_FAULT_DELAY_MILLIS = 3_000
        const val FAULT_KINDS = 3
        const val BUSY_VM_DIVISOR = 3
        val SETTLE_TIME = 8.seconds
        val CALM_NETWORK = NetworkConditions(sameZoneDelay = 0.5.milliseconds, crossZoneDelay = 1.milliseconds)
        val FAULTY_NETWORK = CALM_NETWORK.copy(
            lossProbability = 0.02,
            duplicationProbability = 0.02,
            extraDelayProbability = 0.02,
        )
    }
}
