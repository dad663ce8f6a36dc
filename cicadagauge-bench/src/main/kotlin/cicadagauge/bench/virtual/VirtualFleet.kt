/*
 * A simulated deployment under virtual time: entry VMs, store, VM list and upstreams, connected by a network that can
 * lose, delay, duplicate and partition. All randomness comes from one seed, so that a run can be reproduced exactly.
 */
package cicadagauge.bench.virtual

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationWriter
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Moment
import cicadagauge.identity.OperationId
import cicadagauge.identity.RequestId
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.NodeSettings
import cicadagauge.node.RequestHead
import cicadagauge.node.StateChange
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.standins.upstream.UpstreamTraits
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import cicadagauge.store.StoredDeclaration
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The configuration of a simulated fleet.
 *
 * @property vms the number of entry VMs
 * @property seed the seed of everything random
 * @property drift the largest rate deviation of a process clock, as a fraction of the time that passes
 * @property service how long a warm upstream takes for a request
 * @property coldTime how long an upstream is cold after its start
 * @property vmListPoll how often each VM reads the VM list
 * @property vmListLag the delay until a change of the running VMs shows in the VM list
 * @property node makes the settings of the node on a VM
 */
data class FleetTraits(
    val shape: DeploymentShape,
    val vms: Int = 9,
    val seed: Long = 1,
    val drift: Double = 0.005,
    val service: Duration = 5.milliseconds,
    val coldTime: Duration = 3.seconds,
    val vmListPoll: Duration = 500.milliseconds,
    val vmListLag: Duration = 3.seconds,
    val network: NetworkTraits = NetworkTraits(),
    val node: (VmId, AvailabilityZone) -> NodeSettings = { vm, zone -> NodeSettings(vm, zone) },
)

/** The result of a request, as its caller sees it. */
sealed interface RequestResult {
    /** An upstream answered the request. */
    data object Answered : RequestResult

    /** The request was refused with [refusal]. */
    data class Refused(val refusal: Refusal) : RequestResult
}

/** Receives events of a simulated fleet. */
interface FleetObserver {
    /** [vm] sends [message] to a peer. */
    fun said(fleet: VirtualFleet, vm: VirtualVm, message: PeerMessage) = Unit

    /** [vm] sends the grant [order] to an upstream. */
    fun ordered(fleet: VirtualFleet, vm: VirtualVm, order: GrantOrder) = Unit

    /** An upstream has handled a grant order with the result [report]. */
    fun granted(fleet: VirtualFleet, report: GrantReport) = Unit

    /** [request] starts to run at [upstream]. */
    fun began(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) = Unit

    /** The node on [vm] reports a [change] of its state. */
    fun changed(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) = Unit
}

/** A simulated deployment with the configuration [traits]. */
class VirtualFleet(val traits: FleetTraits, private val observer: FleetObserver = object : FleetObserver {}) {
    private val random = Random(traits.seed)
    private val waiting = HashMap<Pair<VmId, RequestId>, (RequestResult) -> Unit>()
    private var lastRequest = 0L
    private var lastVm = 0
    private val running = HashMap<VmId, VirtualVm>()
    private val shown = ArrayDeque<ShownList>()

    val time = VirtualTime()
    val network = VirtualNetwork(time, random, traits.network)
    val store = VirtualStore(time, network)
    val declaration: Declaration = traits.shape.declaration { Address(it.value, 1) }
    val upstreams: Map<UpstreamId, VirtualUpstream> = declaration.pools.flatMap { pool ->
        pool.upstreams.map { upstream ->
            val upstreamTraits = UpstreamTraits(
                id = upstream.id,
                pool = pool.name,
                keyed = pool.keyed,
                concurrency = pool.concurrency,
                service = traits.service,
                coldTime = traits.coldTime,
            )
            upstream.id to VirtualUpstream(upstream, upstreamTraits, time, newClock())
        }
    }.toMap()

    /** The running VMs. */
    val vms = ArrayList<VirtualVm>()

    private class ShownList(val at: Long, val vms: List<VirtualVm>)

    /** Stores the declaration, starts all VMs and publishes the VM list. */
    fun start(): VirtualFleet {
        apply(declaration, version = 1)
        repeat(traits.vms) { addVm() }
        list()
        return this
    }

    /** Stores the declaration [next] as [version], as the `apply` command of the operators' tool does. */
    fun apply(next: Declaration, version: Long) {
        val stored =
            StoredDeclaration(DeclarationVersion(version), OperationId("op-$version"), DeclarationWriter.write(next))
        var revision = StoreRevision.ABSENT
        val now = Moment(time.now)
        store.model.handle(StoreCall.Get(StoreKeys.DECLARATION), now) {
            revision =
                (it as StoreReply.Found).entry.revision
        }
        store.model.handle(StoreCall.Put(StoreKeys.DECLARATION, JsonDeclarationCodec().seal(stored), revision), now) {}
    }

    /** Starts one more VM; VMs go to the zones in turn. It is not in the VM list until [list] is called. */
    fun addVm(): VirtualVm {
        val zones = traits.shape.zones
        val number = ++lastVm
        val settings = traits.node(VmId("vm-%03d".format(number)), AvailabilityZone(zones[number % zones.size]))
        val vm = VirtualVm(settings, time, newClock(), ::carryOut)
        vms += vm
        running[vm.id] = vm
        vm.submit(Event.Started)
        poll(vm)
        return vm
    }

    /** Crashes [vm]. It stays in the VM list until the list's delay has passed. */
    fun crash(vm: VirtualVm) {
        vm.crash()
        vms -= vm
        running -= vm.id
        list()
    }

    /** Publishes the list of the running VMs, which the VMs see after the list's delay. The first list has no delay. */
    fun list() {
        val at = time.now + if (shown.isEmpty()) 0L else traits.vmListLag.inWholeNanoseconds
        shown.addLast(ShownList(at, vms.toList()))
    }

    /** Sends a request to [vm]. [done] receives the result, at most once. */
    fun request(vm: VirtualVm, head: RequestHead, done: (RequestResult) -> Unit) {
        val id = RequestId(++lastRequest)
        waiting[vm.id to id] = done
        vm.submit(Event.RequestArrived(id, head))
    }

    private fun newClock() = VirtualClock(
        time = time,
        offset = 1 + random.nextInt(MAX_CLOCK_START).toLong() * 100,
        drift = (random.nextDouble() * 2 - 1) * traits.drift,
    )

    private fun poll(vm: VirtualVm) {
        if (vm.crashed) return
        while (shown.size > 1 && shown[1].at <= time.now) shown.removeFirst()
        shown.firstOrNull()?.let { list -> vm.submit(Event.VmsListed(list.vms.map { it.listed })) }
        time.after(traits.vmListPoll) { poll(vm) }
    }

    private fun carryOut(vm: VirtualVm, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> store.call(vm.site, effect.call) { vm.submit(Event.StoreReplied(effect.id, it)) }
            is Effect.SendPeer -> sendPeer(vm, effect)
            is Effect.SendGrant -> sendGrant(vm, effect)
            is Effect.SendRangeOrder -> vm.submit(Event.RangeOrderEnded(effect.id, RangeOrderOutcome.Rejected))
            is Effect.Forward -> forward(vm, effect)
            is Effect.Relay -> relay(vm, effect)
            is Effect.Refuse -> waiting.remove(vm.id to effect.id)?.invoke(RequestResult.Refused(effect.refusal))
            is Effect.StateChanged -> observer.changed(this, vm, effect.change)
            is Effect.Attribute, is Effect.WakeAt, Effect.DutiesHandedOver -> Unit
        }
    }

    private fun sendPeer(vm: VirtualVm, effect: Effect.SendPeer) {
        observer.said(this, vm, effect.message)
        val peer = running[effect.to] ?: return
        network.send(vm.site, peer.site) { peer.submit(Event.PeerMessageReceived(vm.id, effect.message)) }
    }

    private fun sendGrant(vm: VirtualVm, effect: Effect.SendGrant) {
        observer.ordered(this, vm, effect.order)
        val upstream = upstreams.getValue(effect.order.upstream)
        network.send(vm.site, upstream.site) {
            upstream.grant(effect.order) { report ->
                observer.granted(this, report)
                network.send(upstream.site, vm.site) { vm.submit(Event.GrantReported(report)) }
            }
        }
    }

    private fun forward(vm: VirtualVm, effect: Effect.Forward) {
        val upstream = upstreams.getValue(effect.upstream)
        var done = false
        val end = { outcome: AttemptOutcome ->
            if (!done) {
                done = true
                ended(vm, effect.id, outcome)
            }
        }
        val left = maxOf(0L, vm.timeUntil(effect.deadline))
        time.at(time.now + left) { end(AttemptOutcome.Lost(timedOut = true)) }
        if (upstream.crashed) {
            time.after(network.delay(vm.site, upstream.site) * 2) {
                end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
            }
            return
        }
        network.deliver(vm.site, upstream.site) {
            upstream.run(effect.slot, {
                observer.began(this, upstream, effect)
            }) { result -> answer(vm, upstream, result, end) }
        }
        upstream.onCrash { end(AttemptOutcome.Lost(timedOut = false)) }
    }

    private fun relay(vm: VirtualVm, effect: Effect.Relay) {
        var done = false
        val end = { outcome: AttemptOutcome ->
            if (!done) {
                done = true
                ended(vm, effect.id, outcome)
            }
        }
        time.at(time.now + maxOf(0L, vm.timeUntil(effect.giveUpAt))) { end(AttemptOutcome.Lost(timedOut = true)) }
        val home = running[effect.home]
        if (home == null) {
            time.after(traits.network.crossZone * 2) { end(AttemptOutcome.NotRun(NotRunCause.Unreachable)) }
            return
        }
        home.onCrash { end(AttemptOutcome.Lost(timedOut = false)) }
        val left = (effect.deadline - vm.now())
        network.deliver(vm.site, home.site) {
            val id = RequestId(++lastRequest)
            waiting[home.id to id] = { result ->
                network.deliver(home.site, vm.site) {
                    end(
                        if (result is RequestResult.Refused) {
                            AttemptOutcome.Refused(
                                result.refusal,
                            )
                        } else {
                            AttemptOutcome.Answered(STATUS_OK)
                        },
                    )
                }
            }
            home.submit(Event.RelayArrived(id, effect.request, left))
        }
    }

    private fun answer(vm: VirtualVm, upstream: VirtualUpstream, result: RunResult, end: (AttemptOutcome) -> Unit) {
        network.deliver(upstream.site, vm.site) {
            when (result) {
                RunResult.Ran -> end(AttemptOutcome.Answered(STATUS_OK))
                is RunResult.NotRun -> end(AttemptOutcome.NotRun(result.cause))
            }
        }
    }

    private fun ended(vm: VirtualVm, id: RequestId, outcome: AttemptOutcome) {
        if (outcome is AttemptOutcome.Answered) waiting.remove(vm.id to id)?.invoke(RequestResult.Answered)
        vm.submit(Event.AttemptEnded(id, outcome))
    }

    private companion object {
        const val MAX_CLOCK_START = 1_000_000_000
        const val STATUS_OK = 200
    }
}
