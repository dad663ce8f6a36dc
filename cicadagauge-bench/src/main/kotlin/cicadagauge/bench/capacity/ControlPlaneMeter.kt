package cicadagauge.bench.capacity

import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.node.StateChange
import cicadagauge.ownership.GrantOrder
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.deployment.PoolShape
import cicadagauge.store.Json
import cicadagauge.store.MessageJson
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The cost of the control plane in one fleet. Rates are per second of virtual time.
 *
 * @property messagesPerVm peer messages per second, mean over the VMs
 * @property bytesPerVm bytes of peer messages per second, mean over the VMs
 * @property bytesDearestVm bytes of peer messages per second of the VM that sends most
 * @property grantBytesDearestVm bytes of grant orders per second of the VM that sends most
 * @property coreShareMean the real time that a node spends on events per second of virtual time, mean over the VMs
 * @property coreShareDearest the same share for the VM whose node spends most
 * @property storeCalls store calls per second of the whole fleet
 * @property inForceMillis milliseconds until a new declaration is in force on every VM; infinite if that did not occur
 * @property heapBytesPerVm heap in use by the whole simulation, divided by the number of VMs
 * @property bytesByKind bytes per second and VM, by the type of peer message
 */
data class ControlPlaneCost(
    val vms: Int,
    val upstreams: Int,
    val customers: Int,
    val messagesPerVm: Double,
    val bytesPerVm: Double,
    val bytesDearestVm: Double,
    val grantBytesDearestVm: Double,
    val coreShareMean: Double,
    val coreShareDearest: Double,
    val storeCalls: Double,
    val inForceMillis: Double,
    val heapBytesPerVm: Double,
    val bytesByKind: Map<String, Double>,
)

/**
 * Measures the traffic and event-handling time of the control plane in a simulated fleet without callers.
 *
 * @param upstreamFactor how many times as many upstreams as usual each pool has
 */
class ControlPlaneMeter(
    private val vms: Int,
    private val upstreamFactor: Int = 1,
    private val customers: Int = DEFAULT_CUSTOMERS,
) : FleetObserver {
    private val bytes = HashMap<VirtualVm, Long>()
    private val grantBytes = HashMap<VirtualVm, Long>()
    private val bytesByType = sortedMapOf<String, Long>()
    private val inForceTimes = HashMap<Long, ArrayList<Long>>()
    private var messages = 0L
    private var measuring = false

    override fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, message: PeerMessage) {
        if (!measuring) return
        val size = MessageJson.write(listOf(message)).size + HTTP_OVERHEAD_BYTES
        messages++
        bytes.merge(vm, size.toLong(), Long::plus)
        bytesByType.merge(message::class.java.simpleName, size.toLong(), Long::plus)
    }

    override fun onGrantOrder(fleet: VirtualFleet, vm: VirtualVm, order: GrantOrder) {
        if (!measuring) return
        val size = GRANT_WRITER.writeValueAsBytes(order).size + HTTP_OVERHEAD_BYTES
        grantBytes.merge(vm, size.toLong(), Long::plus)
    }

    override fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) {
        if (change is StateChange.DeclarationInForce) {
            inForceTimes.getOrPut(change.version.value) { ArrayList() } +=
                fleet.time.now
        }
    }

    /** Runs the simulation and returns the measured cost. */
    fun measure(): ControlPlaneCost {
        val shape = DeploymentShape.HOSHIZORA
        val pools = shape.pools.map { PoolShape(it.name, it.upstreamCount * upstreamFactor, it.keyed) }
        val rates = List(customers) { RATE_PER_SECOND }
        val fleet = VirtualFleet(
            FleetSettings(shape.copy(pools = pools, customerRates = rates, entryVms = vms), vms),
            this,
        ).start()
        fleet.time.advanceBy(SETTLE_TIME)
        measuring = true
        val callsBefore = fleet.store.model.calls
        val handlingNanosBefore = fleet.vms.associateWith { it.handlingNanos }
        fleet.time.advanceBy(MEASURING_TIME)
        measuring = false
        val seconds = MEASURING_TIME.toDouble(DurationUnit.SECONDS)
        val coreShares = fleet.vms.map {
            (it.handlingNanos - handlingNanosBefore.getValue(it)) / NANOS_PER_SECOND / seconds
        }
        val calls = (fleet.store.model.calls - callsBefore) / seconds
        return ControlPlaneCost(
            vms = vms,
            upstreams = pools.sumOf { it.upstreamCount },
            customers = customers,
            messagesPerVm = messages / seconds / vms,
            bytesPerVm = bytes.values.sum() / seconds / vms,
            bytesDearestVm = (bytes.values.maxOrNull() ?: 0) / seconds,
            grantBytesDearestVm = (grantBytes.values.maxOrNull() ?: 0) / seconds,
            coreShareMean = coreShares.average(),
            coreShareDearest = coreShares.max(),
            storeCalls = calls,
            inForceMillis = millisUntilInForce(fleet),
            heapBytesPerVm = heapBytes() / vms,
            bytesByKind = bytesByType.mapValues { it.value / seconds / vms },
        )
    }

    /** The heap in use after a garbage collection, in bytes. It includes the simulated upstreams and store. */
    @Suppress("ExplicitGarbageCollectionCall")
    private fun heapBytes(): Double {
        System.gc()
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()).toDouble()
    }

    /** Applies a new declaration and returns the milliseconds until it is in force on every VM, or infinity. */
    private fun millisUntilInForce(fleet: VirtualFleet): Double {
        val begin = fleet.time.now
        fleet.applyDeclaration(fleet.declaration, version = 2)
        fleet.time.advanceBy(PROPAGATION_TIME)
        val times = inForceTimes[2].orEmpty()
        return if (times.size < vms) Double.POSITIVE_INFINITY else (times.max() - begin) / NANOS_PER_MILLI
    }

    private companion object {
        const val DEFAULT_CUSTOMERS = 8
        const val RATE_PER_SECOND = 500.0
        const val HTTP_OVERHEAD_BYTES = 60
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1e6
        val SETTLE_TIME = 12.seconds
        val MEASURING_TIME = 10.seconds
        val PROPAGATION_TIME = 10.seconds
        val GRANT_WRITER = Json.mapper.writerFor(GrantOrder::class.java)
    }
}
