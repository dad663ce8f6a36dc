package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.CutKind
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.RunResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.node.Effect
import cicadagauge.node.StateChange
import cicadagauge.outcome.Reason
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What callers saw of their requests at some VMs. */
private class Tally {
    var sent = 0
    var served = 0
    val refusals = sortedMapOf<Reason, Int>()

    val failed: Int get() = sent - served

    val servedShare: Double get() = served.toDouble() / sent

    override fun toString(): String = "$served of $sent served, $refusals"
}

/**
 * Sends a steady load of all kinds of requests to all VMs of a fleet, of which some are cut off from all upstreams. Each
 * request has a path of its own, and upstreams take [serviceTime] for it.
 */
private class CutOffLoad(
    private val seed: Long,
    requestsPerSecond: Int = 450,
    serviceTime: Duration = 5.milliseconds,
) : FleetObserver {
    private val interval = 1.seconds / requestsPerSecond
    private val shape = DeploymentShape.HOSHIZORA
    private val random = Random(seed)
    private val traffic = shape.traffic.flatMap { kind -> List(kind.weight) { kind } }
    private val started = HashMap<RequestId, String>()
    private val runs = HashMap<String, Int>()
    private val changes = ArrayList<String>()
    private var sent = 0

    val fleet = VirtualFleet(FleetSettings(shape, seed = seed, serviceTime = serviceTime), this).start()

    /** The VMs that have reported that they reach no upstream. */
    val cutReports = ArrayList<VirtualVm>()

    /** The requests that were put into quarantine. */
    val quarantined = ArrayList<StateChange.RequestQuarantined>()

    /** The requests that ran more than once though they aren't idempotent. */
    val repeated: List<String> get() = runs.filterValues { it > 1 }.keys.toList()

    init {
        fleet.time.advanceBy(10.seconds)
        run(2.seconds)
    }

    override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        val head = fleet.headOf(request.id) ?: return
        if (head.method == "POST") started[request.id] = head.path
    }

    /** Counts runs that took effect; one during which the upstream loses its grant does not. */
    override fun onRequestEnded(
        fleet: VirtualFleet,
        upstream: VirtualUpstream,
        request: Effect.Forward,
        result: RunResult,
    ) {
        if (result !is RunResult.NotRun) started[request.id]?.let { runs.merge(it, 1, Int::plus) }
    }

    override fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) {
        if (change is StateChange.UpstreamsReached && !change.reached) cutReports += vm
        if (change is StateChange.RequestQuarantined && change.isQuarantined) quarantined += change
        changes += "${fleet.time.now / NANOS_PER_MILLISECOND} ms ${vm.id} $change"
    }

    /** The VMs that hold the duty of [pool]. */
    fun allocatorsOf(pool: PoolName): List<VirtualVm> = fleet.vms.filter { pool in it.status().duties }

    /** Sends requests for [duration], awaits their results and returns those at the VMs in [apart] and at all others. */
    fun measure(duration: Duration, apart: Collection<VirtualVm> = emptyList()): Pair<Tally, Tally> {
        val tallies = run(duration, apart)
        fleet.time.advanceBy(DEADLINE)
        return tallies
    }

    /** Sends requests for [duration]. */
    fun run(duration: Duration, apart: Collection<VirtualVm> = emptyList()): Pair<Tally, Tally> {
        val atApart = Tally()
        val atOthers = Tally()
        repeat((duration / interval).toInt()) {
            val vm = fleet.vms[random.nextInt(fleet.vms.size)]
            sendOne(vm, if (vm in apart) atApart else atOthers)
            fleet.time.advanceBy(interval)
        }
        return atApart to atOthers
    }

    private fun sendOne(vm: VirtualVm, tally: Tally) {
        val kind = traffic[random.nextInt(traffic.size)]
        val path = kind.path.replace(Regex("\\{[a-z]+}"), "key-${++sent}")
        val customer = shape.customers[sent % LARGE_CUSTOMERS]
        tally.sent++
        fleet.request(vm, FakeRequestHead(kind.method, path, shape.apiKeyOf(customer), DEADLINE)) { result ->
            when (result) {
                RequestResult.Answered -> tally.served++
                is RequestResult.Refused -> tally.refusals.merge(result.refusal.reason, 1, Int::plus)
            }
        }
    }

    override fun toString(): String = "seed $seed:\n" + changes.takeLast(MAX_SHOWN_CHANGES).joinToString("\n")

    private companion object {
        const val LARGE_CUSTOMERS = 2
        const val MAX_SHOWN_CHANGES = 60
        const val NANOS_PER_MILLISECOND = 1_000_000
        val DEADLINE = 300.milliseconds
    }
}

/** Tests, under virtual time, that VMs which reach no upstream serve their callers through other VMs. */
class VmWithoutUpstreamsTest :
    FunSpec({
        val catalogue = PoolName("catalogue")
        val cuts = mapOf<String, (CutOffLoad) -> List<VirtualVm>>(
            "an allocator" to { load -> load.allocatorsOf(catalogue) },
            "a VM without duties" to { load -> load.fleet.vms.filter { it.status().duties.isEmpty() }.take(1) },
            "all VMs of a zone" to { load -> load.fleet.vms.filter { it.zone == load.fleet.vms.first().zone } },
            "four of nine VMs" to { load -> load.fleet.vms.filterIndexed { index, _ -> index % 2 == 1 } },
        )

        for (kind in CutKind.entries) {
            for ((name, choose) in cuts) {
                test("VMs without upstreams serve their callers through the others: $name, $kind") {
                    for (seed in 1L..3L) {
                        val load = CutOffLoad(seed)
                        val apart = choose(load)
                        apart.forEach { load.fleet.connections.cut(it, load.fleet.upstreams.values, kind) }
                        load.run(CONTACT)
                        val (atApart, atOthers) = load.measure(6.seconds, apart)
                        withClue("cut off: $atApart; others: $atOthers; $load") {
                            (atApart.servedShare / atOthers.servedShare) shouldBeGreaterThanOrEqual MIN_SHARE
                            atApart.failed shouldBeLessThanOrEqual allowedFailures(atApart)
                            atOthers.failed shouldBeLessThanOrEqual allowedFailures(atOthers)
                            load.repeated.shouldBeEmpty()
                            load.quarantined.shouldBeEmpty()
                        }
                        apart.forEach(load.fleet.connections::heal)
                        load.run(CONTACT)
                        val (afterwards, _) = load.measure(3.seconds, apart)
                        withClue("afterwards: $afterwards; $load") {
                            afterwards.failed shouldBeLessThanOrEqual allowedFailures(afterwards)
                        }
                    }
                }
            }

            test("an allocator without upstreams hands its duties over: $kind") {
                for (seed in 1L..3L) {
                    val load = CutOffLoad(seed)
                    val apart = load.allocatorsOf(catalogue)
                    apart.forEach { load.fleet.connections.cut(it, load.fleet.upstreams.values, kind) }
                    load.run(CONTACT)
                    // Where the open connections are enough for the load, such a VM lacks nothing yet.
                    val informed = if (kind == CutKind.LiveOn) apart.filter { it in load.cutReports } else apart
                    withClue("$load") {
                        informed.flatMap { it.status().duties }.shouldBeEmpty()
                        load.allocatorsOf(catalogue).size shouldBe 1
                    }
                }
            }
        }

        for (kind in CutKind.entries) {
            test("no request is quarantined because VMs are cut off while it runs: $kind") {
                for (seed in 1L..3L) {
                    val load = CutOffLoad(seed, requestsPerSecond = 100, serviceTime = 150.milliseconds)
                    for (vm in load.fleet.vms.take(6)) {
                        load.fleet.connections.cut(vm, load.fleet.upstreams.values, kind)
                        load.run(100.milliseconds)
                    }
                    load.run(1.seconds)
                    withClue("$load") { load.quarantined.shouldBeEmpty() }
                }
            }
        }

        val outages = mapOf<String, (VirtualUpstream) -> Boolean>(
            "all upstreams of a pool" to { it.pool.value == "catalogue" },
            "all upstreams of a zone" to { it.declared.zone.value == DeploymentShape.HOSHIZORA.zones.first() },
        )

        for ((name, isDown) in outages) {
            test("no VM takes crashed upstreams for a cut: $name") {
                for (seed in 1L..3L) {
                    val load = CutOffLoad(seed)
                    load.fleet.upstreams.values.filter(isDown).forEach { it.crash() }
                    load.run(CONTACT)
                    withClue("$load") { load.cutReports.shouldBeEmpty() }
                }
            }
        }

        test("after the loss of all upstreams every VM serves again") {
            for (seed in 1L..3L) {
                val load = CutOffLoad(seed)
                load.fleet.upstreams.values.forEach { it.crash() }
                load.run(CONTACT)
                load.fleet.upstreams.values.forEach { it.restart() }
                load.run(CONTACT)
                val (_, all) = load.measure(3.seconds)
                withClue("$all; $load") { all.failed shouldBeLessThanOrEqual allowedFailures(all) }
            }
        }
    }) {
    private companion object {
        /** How long operators allow until VMs that lost their upstreams must serve again. */
        val CONTACT = 3.seconds

        /** The least share of requests that must be served at such VMs, as a part of that at the others. */
        const val MIN_SHARE = 2.0 / 3

        private const val ALLOWED_FAILURES = 10
        private const val FAILURE_RATIO = 50

        fun allowedFailures(tally: Tally): Int = ALLOWED_FAILURES + tally.sent / FAILURE_RATIO
    }
}
