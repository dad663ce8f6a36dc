/*
 * A simulated deployment under virtual time: entry VMs, store, VM list and upstreams, connected by a network that can
 * lose, delay, duplicate and partition. All randomness comes from one seed, so that a run can be reproduced exactly.
 */
package cicadagauge.bench.virtual

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationWriter
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.BodyDigest
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
import cicadagauge.standins.upstream.UpstreamSettings
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
 * @property vmCount the number of entry VMs
 * @property seed the seed of everything random
 * @property maxClockDrift the largest rate deviation of a process clock, as a fraction of the time that passes
 * @property serviceTime how long a warm upstream takes for a request
 * @property coldTime how long an upstream is cold after its start
 * @property vmListPollInterval how often each VM reads the VM list
 * @property vmListDelay the delay until a change of the running VMs shows in the VM list
 * @property nodeSettings makes the settings of the node on a VM
 */
data class FleetSettings(
    val shape: DeploymentShape,
    val vmCount: Int = 9,
    val seed: Long = 1,
    val maxClockDrift: Double = 0.005,
    val serviceTime: Duration = 5.milliseconds,
    val coldTime: Duration = 3.seconds,
    val vmListPollInterval: Duration = 500.milliseconds,
    val vmListDelay: Duration = 3.seconds,
    val network: NetworkConditions = NetworkConditions(),
    val nodeSettings: (VmId, AvailabilityZone) -> NodeSettings = { vm, zone -> NodeSettings(vm, zone) },
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
    fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, message: PeerMessage) = Unit

    /** [vm] sends [message] to the peer [to]. */
    fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, to: VmId, message: PeerMessage) =
        onPeerMessage(fleet, vm, message)

    /** [vm] makes [call] to the store. */
    fun onStoreCall(fleet: VirtualFleet, vm: VirtualVm, call: StoreCall) = Unit

    /** [vm] sends the grant [order] to an upstream. */
    fun onGrantOrder(fleet: VirtualFleet, vm: VirtualVm, order: GrantOrder) = Unit

    /** An upstream has handled a grant order with the result [report]. */
    fun onGrantReport(fleet: VirtualFleet, report: GrantReport) = Unit

    /** [request] arrives at [upstream], which may reject it. */
    fun onRequestArrived(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) = Unit

    /** [request] starts to run at [upstream]. */
    fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) = Unit

    /** The run of [request] at [upstream] has ended with [result], whether or not a VM learns of it. */
    fun onRequestEnded(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward, result: RunResult) =
        Unit

    /** The node on [vm] reports a [change] of its state. */
    fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) = Unit
}

/** A simulated deployment with the configuration [settings]. */
class VirtualFleet(val settings: FleetSettings, private val observer: FleetObserver = object : FleetObserver {}) {
    private val random = Random(settings.seed)
    private val openRequests = HashMap<RequestId, OpenRequest>()
    private var lastRequestId = 0L
    private var lastVmNumber = 0
    private val runningVms = HashMap<VmId, VirtualVm>()
    private val publishedLists = ArrayDeque<PublishedList>()

    val time = VirtualTime()
    val network = VirtualNetwork(time, random, settings.network)
    val connections = VirtualConnections(time, network)
    val store = VirtualStore(time, network)
    val declaration: Declaration = settings.shape.declaration { Address(it.value, 1) }
    val upstreams: Map<UpstreamId, VirtualUpstream> = declaration.pools.flatMap { pool ->
        pool.upstreams.map { upstream ->
            val upstreamTraits = UpstreamSettings(
                id = upstream.id,
                pool = pool.name,
                keyed = pool.keyed,
                concurrency = pool.concurrency,
                service = settings.serviceTime,
                coldTime = settings.coldTime,
            )
            upstream.id to VirtualUpstream(upstream, upstreamTraits, time, newClock())
        }
    }.toMap()

    /** The running VMs. */
    val vms = ArrayList<VirtualVm>()

    /** A request that is not answered yet. A relayed one has another id on its home VM. */
    private class OpenRequest(val head: RequestHead, val body: BodyDigest, val onResult: (RequestResult) -> Unit)

    private class PublishedList(val visibleAt: Long, val vms: List<VirtualVm>)

    /** Stores the declaration, starts all VMs and publishes the VM list. */
    fun start(): VirtualFleet {
        applyDeclaration(declaration, version = 1)
        repeat(settings.vmCount) { addVm() }
        publishVmList()
        return this
    }

    /** Stores the declaration [next] as [version], as the `apply` command of the operators' tool does. */
    fun applyDeclaration(next: Declaration, version: Long) {
        val stored =
            StoredDeclaration(DeclarationVersion(version), OperationId("op-$version"), DeclarationWriter.write(next))
        var revision = StoreRevision.ABSENT
        val now = Moment(time.now)
        store.model.handle(StoreCall.Get(StoreKeys.DECLARATION), now) {
            revision = (it as StoreReply.Found).entry.revision
        }
        store.model.handle(StoreCall.Put(StoreKeys.DECLARATION, JsonDeclarationCodec().wrap(stored), revision), now) {}
    }

    /** Starts one more VM; VMs go to the zones in turn. It is not in the VM list until [publishVmList] is called. */
    fun addVm(): VirtualVm {
        val zones = settings.shape.zones
        val number = ++lastVmNumber
        val nodeSettings =
            settings.nodeSettings(VmId("vm-%03d".format(number)), AvailabilityZone(zones[number % zones.size]))
        val vm = VirtualVm(nodeSettings, time, newClock(), ::execute)
        vms += vm
        runningVms[vm.id] = vm
        vm.submit(Event.Started)
        pollVmList(vm)
        return vm
    }

    /** Crashes [vm]. It stays in the VM list until the list's delay has passed. */
    fun crash(vm: VirtualVm) {
        vm.crash()
        vms -= vm
        runningVms -= vm.id
        publishVmList()
    }

    /** Publishes the list of the running VMs, which the VMs see after the list's delay. The first list has no delay. */
    fun publishVmList() {
        val visibleAt = time.now + if (publishedLists.isEmpty()) 0L else settings.vmListDelay.inWholeNanoseconds
        publishedLists.addLast(PublishedList(visibleAt, vms.toList()))
    }

    /** Sends a request to [vm]. [onResult] receives the result, at most once. */
    fun request(
        vm: VirtualVm,
        head: RequestHead,
        body: BodyDigest = BodyDigest(0),
        onResult: (RequestResult) -> Unit,
    ) {
        val id = RequestId(++lastRequestId)
        openRequests[id] = OpenRequest(head, body, onResult)
        vm.submit(Event.RequestArrived(id, head))
    }

    /** The head of the request with [id], which a caller sent or a VM relayed; null once it is answered. */
    fun headOf(id: RequestId): RequestHead? = openRequests[id]?.head

    /** The digest of the body of the request with [id]; null once it is answered. */
    fun bodyOf(id: RequestId): BodyDigest? = openRequests[id]?.body

    private fun newClock() = VirtualClock(
        time = time,
        offset = 1 + random.nextInt(MAX_CLOCK_OFFSET_100_NANOS).toLong() * 100,
        drift = (random.nextDouble() * 2 - 1) * settings.maxClockDrift,
    )

    private fun pollVmList(vm: VirtualVm) {
        if (vm.crashed) return
        while (publishedLists.size > 1 && publishedLists[1].visibleAt <= time.now) publishedLists.removeFirst()
        publishedLists.firstOrNull()?.let { list -> vm.submit(Event.VmsListed(list.vms.map { it.listEntry })) }
        time.after(settings.vmListPollInterval) { pollVmList(vm) }
    }

    private fun execute(vm: VirtualVm, effect: Effect) {
        when (effect) {
            is Effect.CallStore -> callStore(vm, effect)
            is Effect.SendPeer -> sendPeer(vm, effect)
            is Effect.SendGrant -> sendGrant(vm, effect)
            is Effect.SendRangeOrder -> vm.submit(Event.RangeOrderEnded(effect.id, RangeOrderOutcome.Rejected))
            is Effect.Forward -> forward(vm, effect)
            is Effect.Relay -> relay(vm, effect)
            is Effect.AwaitBody -> awaitBody(vm, effect)
            is Effect.CheckUpstream -> check(vm, effect)
            is Effect.Refuse -> openRequests.remove(effect.id)?.onResult(RequestResult.Refused(effect.refusal))
            is Effect.StateChanged -> observer.onStateChange(this, vm, effect.change)
            is Effect.CancelStoreCall, is Effect.Classify, is Effect.WakeAt, Effect.DutiesHandedOver -> Unit
        }
    }

    private fun callStore(vm: VirtualVm, effect: Effect.CallStore) {
        observer.onStoreCall(this, vm, effect.call)
        store.call(vm.endpoint, effect.call) { reply, era -> vm.submit(Event.StoreReplied(effect.id, reply, era)) }
    }

    private fun sendPeer(vm: VirtualVm, effect: Effect.SendPeer) {
        observer.onPeerMessage(this, vm, effect.to, effect.message)
        val peer = runningVms[effect.to] ?: return
        network.send(vm.endpoint, peer.endpoint) { peer.submit(Event.PeerMessageReceived(vm.id, effect.message)) }
    }

    private fun sendGrant(vm: VirtualVm, effect: Effect.SendGrant) {
        observer.onGrantOrder(this, vm, effect.order)
        val upstream = upstreams.getValue(effect.order.upstream)
        network.send(vm.endpoint, upstream.endpoint) {
            upstream.grant(effect.order) { report ->
                observer.onGrantReport(this, report)
                network.send(upstream.endpoint, vm.endpoint) { vm.submit(Event.GrantReported(report)) }
            }
        }
    }

    private fun forward(vm: VirtualVm, effect: Effect.Forward) {
        val upstream = upstreams.getValue(effect.upstream)
        val attempt = connections.begin(vm, upstream, { endAttempt(vm, effect.id, it) }) { attempt ->
            network.sendOnConnection(vm.endpoint, upstream.endpoint) {
                observer.onRequestArrived(this, upstream, effect)
                upstream.run(effect.slot, {
                    observer.onRequestStarted(this, upstream, effect)
                }) { result ->
                    observer.onRequestEnded(this, upstream, effect, result)
                    sendResult(vm, upstream, result, attempt::end)
                }
            }
            upstream.onCrash { attempt.end(AttemptOutcome.Lost(timedOut = false)) }
        }
        val remaining = maxOf(0L, vm.nanosUntil(effect.deadline))
        time.at(time.now + remaining) { attempt.end(AttemptOutcome.Lost(timedOut = true)) }
    }

    private fun awaitBody(vm: VirtualVm, effect: Effect.AwaitBody) {
        val body = openRequests[effect.id]?.body ?: return
        time.after(Duration.ZERO) { vm.submit(Event.BodyRead(effect.id, body)) }
    }

    private fun check(vm: VirtualVm, effect: Effect.CheckUpstream) =
        connections.check(vm, upstreams.getValue(effect.upstream)) { state ->
            vm.submit(Event.UpstreamChecked(effect.upstream, state))
        }

    private fun relay(vm: VirtualVm, effect: Effect.Relay) {
        var done = false
        val complete = { outcome: AttemptOutcome ->
            if (!done) {
                done = true
                endAttempt(vm, effect.id, outcome)
            }
        }
        time.at(time.now + maxOf(0L, vm.nanosUntil(effect.giveUpAt))) { complete(AttemptOutcome.Lost(timedOut = true)) }
        val home = runningVms[effect.home]
        if (home == null) {
            time.after(settings.network.crossZoneDelay * 2) { complete(AttemptOutcome.NotRun(NotRunCause.Unreachable)) }
            return
        }
        home.onCrash { complete(AttemptOutcome.Lost(timedOut = false)) }
        val remaining = (effect.deadline - vm.now())
        network.sendOnConnection(vm.endpoint, home.endpoint) {
            val request = openRequests[effect.id] ?: return@sendOnConnection
            val id = RequestId(++lastRequestId)
            openRequests[id] = OpenRequest(request.head, request.body) { result ->
                network.sendOnConnection(home.endpoint, vm.endpoint) {
                    complete(
                        if (result is RequestResult.Refused) {
                            AttemptOutcome.Refused(result.refusal)
                        } else {
                            AttemptOutcome.Answered(STATUS_OK)
                        },
                    )
                }
            }
            home.submit(Event.RelayArrived(id, effect.request, request.head, remaining))
        }
    }

    private fun sendResult(
        vm: VirtualVm,
        upstream: VirtualUpstream,
        result: RunResult,
        complete: (AttemptOutcome) -> Unit,
    ) {
        network.sendOnConnection(upstream.endpoint, vm.endpoint) {
            when (result) {
                RunResult.Ran -> complete(AttemptOutcome.Answered(STATUS_OK))
                RunResult.AnswerLost -> complete(AttemptOutcome.Lost(timedOut = false))
                is RunResult.NotRun -> complete(AttemptOutcome.NotRun(result.cause))
            }
        }
    }

    private fun endAttempt(vm: VirtualVm, id: RequestId, outcome: AttemptOutcome) {
        val body = openRequests[id]?.body
        if (outcome is AttemptOutcome.Answered) openRequests.remove(id)?.onResult(RequestResult.Answered)
        vm.submit(Event.AttemptEnded(id, outcome, body))
    }

    private companion object {
        const val MAX_CLOCK_OFFSET_100_NANOS = 1_000_000_000
        const val STATUS_OK = 200
    }
}
