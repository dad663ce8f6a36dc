/*
 * A small fleet under virtual time whose store may come back from an older copy: entry VMs that register themselves,
 * two upstreams that take ranges of slots, and an operator. What the operator and the upstreams wrote they write again.
 */
package cicadagauge.bench.era

import cicadagauge.bench.virtual.Endpoint
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.VirtualClock
import cicadagauge.bench.virtual.VirtualNetwork
import cicadagauge.bench.virtual.VirtualStore
import cicadagauge.bench.virtual.VirtualTime
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.NodeSettings
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.StateChange
import cicadagauge.node.UpstreamState
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.standins.store.StoreCopy
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet of [hosts] VMs. Where the store does not tell its era, [tellsEra] is false. [onTrace] receives a line for
 * each order and each change of a node's state.
 */
class EraFleet(
    private val random: Random,
    private val hosts: Int,
    private val tellsEra: Boolean,
    private val onTrace: ((String) -> Unit)? = null,
) {
    private val codecs = EraFleetCodecs(SLOTS).all
    private val settings = OwnershipSettings(dutyLease = 1_500.milliseconds, dutyRenewal = 400.milliseconds)
    private val running = HashMap<VmId, VirtualVm>()
    private val startCounts = IntArray(hosts)
    private val copies = ArrayDeque<StoreCopy>()

    // A deployment is older than the copies of its store; see docs/design/store-eras.md, "Open".
    private var hasRecord = false
    private var declarationVersion = 1L
    val time = VirtualTime()
    val network = VirtualNetwork(time, random, CONDITIONS)
    val store = VirtualStore(time, network)
    val upstreams = (0 until UPSTREAM_COUNT).map { RangeUpstream(it, SLOTS) }
    val rules = EraRules(upstreams)

    /** The running VM of each host. */
    val vms = ArrayList<VirtualVm>()

    /** Starts everything. */
    fun start() {
        operate()
        upstreams.forEach(::register)
        repeat(hosts) { vms += startVm(it) }
        keepCopies()
    }

    /** Replaces the process on [host] by a new one. */
    fun restartVm(host: Int) {
        val old = vms[host]
        old.crash()
        running -= old.id
        vms[host] = startVm(host)
    }

    /** Lets the operator write a newer declaration. */
    fun changeDeclaration() {
        declarationVersion++
    }

    /** Lets the store come back from a copy that is up to [MAX_COPY_AGE] old. */
    fun rollBackStore() {
        if (copies.isEmpty()) {
            store.isDown = false
            return
        }
        store.comeBackFrom(copies[random.nextInt(copies.size)])
        trace { "store is in era ${store.model.era}" }
    }

    /** Ends the faults of the network. */
    fun heal() {
        network.conditions = NetworkConditions()
        network.healAll()
    }

    /** The number of slots that no upstream holds. */
    fun unownedSlots(): Int = (0 until SLOTS).count { slot -> upstreams.none { it.holds(slot, time.now) } }

    private fun startVm(host: Int): VirtualVm {
        val id = VmId("vm-$host-${++startCounts[host]}")
        val zone = EraFleetCodecs.ZONES.elementAt(host % EraFleetCodecs.ZONES.size)
        val address = Address("host-$host", 1)
        val nodeSettings = NodeSettings(id, zone, settings, registration = Vm(id, address, address, zone))
        val clock = VirtualClock(time, offset = 1L + random.nextInt(CLOCK_OFFSET_NANOS), drift = 0.0)
        val vm = VirtualVm(nodeSettings, time, clock, ::execute, codecs)
        running[id] = vm
        vm.submit(Event.Started)
        return vm
    }

    private fun execute(vm: VirtualVm, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> store.call(vm.endpoint, effect.call) { reply, era ->
                vm.submit(Event.StoreReplied(effect.id, reply, era.takeIf { tellsEra }))
            }
            is Effect.SendPeer -> running[effect.to]?.let { peer ->
                network.send(vm.endpoint, peer.endpoint) {
                    peer.submit(Event.PeerMessageReceived(vm.id, effect.message))
                }
            }
            is Effect.SendRangeOrder -> order(vm, effect)
            is Effect.CheckUpstream -> time.after(delay()) {
                vm.submit(Event.UpstreamChecked(effect.upstream, UpstreamState.Accepting))
            }
            is Effect.StateChanged -> changed(vm, effect.change)
            else -> Unit
        }
    }

    /** Traces [line] with the present time, if steps are traced. */
    fun trace(line: () -> String) {
        onTrace?.invoke("${time.now / NANOS_PER_MILLI} ms: ${line()}")
    }

    private fun changed(vm: VirtualVm, change: StateChange) {
        if (change !is StateChange.WatchEnded) trace { "${vm.id}: $change" }
        when (change) {
            is StateChange.DutyTaken -> {
                hasRecord = true
                rules.termBegun(vm.id, change.term, time.now)
            }
            is StateChange.DeclarationInForce -> rules.declarationInForce(vm.id, change.version, time.now)
            else -> Unit
        }
    }

    private fun order(vm: VirtualVm, effect: Effect.SendRangeOrder) {
        trace { "${vm.id} to ${effect.owner}: ${effect.order}" }
        val upstream = upstreams.first { it.id == effect.owner.upstream }
        var isEnded = false
        val end = { outcome: RangeOrderOutcome ->
            if (!isEnded) {
                isEnded = true
                vm.submit(Event.RangeOrderEnded(effect.id, outcome))
            }
        }
        val times = settings.ranges
        val timeout = if (effect.order is RangeOrder.Grant) times.grantTimeout else times.releaseTimeout
        time.after(timeout) { end(RangeOrderOutcome.Unanswered) }
        if (!network.areConnected(vm.endpoint, upstream.endpoint) || random.nextDouble() < ORDER_LOSS) return
        time.after(delay()) { arrive(upstream, effect.order, end) }
    }

    private fun arrive(upstream: RangeUpstream, order: RangeOrder, end: (RangeOrderOutcome) -> Unit) {
        val arrival = time.now
        val run = upstream.run
        if (!upstream.isUp) return time.after(delay()) { end(RangeOrderOutcome.Refused) }
        if (random.nextDouble() >= LATE_ORDERS) {
            val outcome = carryOut(upstream, order, arrival)
            return time.after(delay()) { end(outcome) }
        }
        time.after(MAX_LATENESS * random.nextDouble()) {
            if (upstream.isUp && upstream.run == run) carryOut(upstream, order, arrival)
        }
    }

    private fun carryOut(upstream: RangeUpstream, order: RangeOrder, arrival: Long): RangeOrderOutcome {
        val outcome = upstream.handle(order, arrival)
        trace {
            "${upstream.id} run ${upstream.run}: $outcome for $order, ${(time.now - arrival) / NANOS_PER_MILLI} ms late"
        }
        val isGranted = order is RangeOrder.Grant && outcome is RangeOrderOutcome.Accepted
        if (isGranted) rules.granted(upstream, order, isLate = time.now > arrival, now = time.now)
        return outcome
    }

    /** Writes the operator's newest declaration wherever the store has another one. */
    private fun operate() {
        keepWritten(OPERATOR, StoreKeys.DECLARATION, declarationVersion.toString())
        time.after(OPERATOR_INTERVAL, ::operate)
    }

    private fun register(upstream: RangeUpstream) {
        val key = StoreKey(StoreKeys.UPSTREAMS + upstream.id)
        if (upstream.isUp) keepWritten(upstream.endpoint, key, upstream.registration)
        time.after(HEARTBEAT) { register(upstream) }
    }

    private fun keepWritten(from: Endpoint, key: StoreKey, text: String) = store.call(from, StoreCall.Get(key)) {
            reply,
            _,
        ->
        val entry = (reply as? StoreReply.Found)?.entry
        if (entry != null && entry.value != text) store.call(from, StoreCall.Put(key, text, entry.revision)) { _, _ -> }
    }

    private fun keepCopies() {
        if (!store.isDown && hasRecord) copies.addLast(store.model.copy(Moment(time.now)))
        while (copies.size > MAX_COPIES) copies.removeFirst()
        time.after(COPY_INTERVAL, ::keepCopies)
    }

    private fun delay() = 1.milliseconds * (1 + 2 * random.nextDouble())

    companion object {
        const val SLOTS = 8
        private const val UPSTREAM_COUNT = 2
        private const val CLOCK_OFFSET_NANOS = 1_000_000_000
        private const val ORDER_LOSS = 0.02
        private const val LATE_ORDERS = 0.03
        private const val NANOS_PER_MILLI = 1_000_000
        private val MAX_LATENESS = 3.seconds
        private val OPERATOR = Endpoint("operator", "operators")
        private val OPERATOR_INTERVAL = 700.milliseconds
        private val HEARTBEAT = 900.milliseconds
        private val COPY_INTERVAL = 200.milliseconds

        /** How old a copy may be from which the store comes back. */
        val MAX_COPY_AGE: Duration = 5.seconds
        private val MAX_COPIES = (MAX_COPY_AGE / COPY_INTERVAL).toInt()
        private val CONDITIONS = NetworkConditions(
            sameZoneDelay = 0.5.milliseconds,
            crossZoneDelay = 1.milliseconds,
            lossProbability = 0.005,
            duplicationProbability = 0.01,
            extraDelayProbability = 0.02,
            maxExtraDelay = 2.seconds,
        )
    }
}
