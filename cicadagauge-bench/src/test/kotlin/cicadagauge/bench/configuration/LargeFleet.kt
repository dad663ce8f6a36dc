package cicadagauge.bench.configuration

import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.DispatchSettings
import cicadagauge.node.SelfRegisteredNode
import cicadagauge.node.StateChange
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.MessageJson
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** A fleet of self-registered VMs in three zones, and what they learn of the store, say and ask. */
internal class LargeFleet(vms: Int, seed: Long = 1) : FleetObserver {
    /** When each VM learnt of the latest zone out, registration and declaration, in nanoseconds. */
    private val learntAt = HashMap<Pair<VmId, String>, Long>()

    /** Calls to the store by kind, a renewal of a lease as a tenth of a call. */
    val calls = sortedMapOf<String, Double>()

    /** Bytes of peer messages by kind. */
    val bytes = sortedMapOf<String, Long>()
    private var bytesBetweenZones = 0L

    /** The VM that last took the duty of each pool. */
    val allocators = HashMap<PoolName, VirtualVm>()
    private var changes = 0
    private var changedAt = 0L

    val fleet = VirtualFleet(
        FleetSettings(
            DeploymentShape.HOSHIZORA.copy(customerRates = emptyList()),
            seed = seed,
            nodeSettings = { id, zone ->
                val vm = Vm(id, Address(id.value, 1), Address(id.value, 1), zone)
                SelfRegisteredNode.settings(vm, DispatchSettings(retryRatio = 0.2, retryBurst = 50))
            },
        ),
        this,
    ).also { fleet ->
        fleet.applyDeclaration(fleet.declaration, version = 1)
        repeat(vms) {
            fleet.addVm()
            fleet.time.advanceBy(20.milliseconds)
        }
    }

    val storeEndpoint get() = fleet.store.endpoint

    /** The VMs that read the store, by zone. */
    fun readers(): Map<String, List<VirtualVm>> = fleet.vms.filter { it.status().readsStore }.groupBy { it.zone.value }

    fun pass(time: Duration) = fleet.time.advanceBy(time)

    fun forgetCosts() {
        calls.clear()
        bytes.clear()
        bytesBetweenZones = 0
    }

    /** What has been spent since [forgetCosts], [time] ago, per second and VM. */
    fun cost(time: Duration): Cost {
        val divisor = time.toDouble(DurationUnit.SECONDS) * fleet.vms.size
        return Cost(calls.values.sum() / divisor, bytes.values.sum() / divisor, bytesBetweenZones / divisor)
    }

    /** Calls to the store, and bytes of peer messages, per second and VM. */
    data class Cost(val calls: Double, val bytes: Double, val bytesBetweenZones: Double)

    /** Takes a zone out, registers an upstream and applies a version at once; see [learningMillis]. */
    fun change() {
        changes++
        learntAt.clear()
        write(StoreKeys.ZONES_OUT + "zone-$changes", "out")
        write(StoreKeys.UPSTREAMS + "upstream-$changes", "unreadable")
        fleet.applyDeclaration(fleet.declaration, version = 1L + changes)
        changedAt = fleet.time.now
    }

    /** Milliseconds after which the last of [vms] had learnt of the latest change; null if one hasn't. */
    fun learningMillis(vms: List<VirtualVm> = fleet.vms): Long? {
        val times = vms.flatMap { vm -> KINDS.map { learntAt[vm.id to it] ?: return null } }
        return (times.max() - changedAt) / NANOS_PER_MILLI
    }

    /** The VMs that have not learnt of all of the latest change. */
    fun unaware(vms: List<VirtualVm> = fleet.vms): List<String> =
        vms.filter { vm -> KINDS.any { learntAt[vm.id to it] == null } }.map { it.id.value }

    private fun write(key: String, value: String) {
        val call = StoreCall.Put(StoreKey(key), value, StoreRevision.ABSENT)
        fleet.store.model.handle(call, Moment(fleet.time.now)) {}
    }

    override fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) {
        if (change is StateChange.DutyTaken) allocators[change.pool] = vm
        val kind = when (change) {
            is StateChange.ZoneOut -> "zone"
            is StateChange.RegistrationUnreadable -> "registration"
            is StateChange.DeclarationInForce -> "declaration"
            else -> return
        }
        learntAt.putIfAbsent(vm.id to kind, fleet.time.now)
    }

    override fun onStoreCall(fleet: VirtualFleet, vm: VirtualVm, call: StoreCall) {
        val kind = when (call) {
            is StoreCall.Watch -> "Watch ${call.prefix}"
            is StoreCall.List -> "List ${call.prefix}"
            is StoreCall.Put -> "Put ${call.key.value.substringBeforeLast('/')}"
            is StoreCall.Get -> "Get ${call.key.value.substringBeforeLast('/')}"
            else -> call::class.java.simpleName
        }
        calls.merge(kind, if (call is StoreCall.RenewLease) RENEWAL_PRICE else 1.0, Double::plus)
    }

    override fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, to: VmId, message: PeerMessage) {
        val size = MessageJson.write(listOf(message)).size.toLong()
        val kind = message::class.java.simpleName
        bytes.merge(kind, size, Long::plus)
        if (fleet.vms.firstOrNull { it.id == to }?.zone != vm.zone) bytesBetweenZones += size
    }

    private companion object {
        val KINDS = listOf("zone", "registration", "declaration")
        const val RENEWAL_PRICE = 0.1
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
