package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.NetworkConditions
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.identity.BodyDigest
import cicadagauge.node.Effect
import cicadagauge.outcome.Reason
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet in which every upstream that starts to run a request for [path] with [crashingBody] crashes, and comes back
 * after [downtime]. Requests are sent again and again, each time as a new one to another VM.
 */
private class CrashingRequest(
    private val method: String,
    private val path: String,
    seed: Long,
    private val crashingBody: BodyDigest? = BodyDigest(1),
    network: NetworkConditions = NetworkConditions(),
) : FleetObserver {
    private val shape = DeploymentShape.HOSHIZORA
    private val downtime = 4.seconds
    private var nextVmIndex = 0

    val fleet = VirtualFleet(FleetSettings(shape, seed = seed, network = network), this).start()

    /** What happened, with the virtual time of each event in milliseconds. */
    val log = ArrayList<String>()

    /** The virtual times at which the request has crashed an upstream. */
    val crashes = ArrayList<Duration>()

    /** The number of answers and of refusals by reason; answers count under null. */
    val results = HashMap<Reason?, Int>()

    init {
        fleet.time.advanceBy(10.seconds)
    }

    override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        if (fleet.headOf(request.id)?.path != path || fleet.bodyOf(request.id) != crashingBody) return
        crashes += fleet.time.now.nanoseconds
        crash(upstream)
    }

    /** Crashes [upstream] for [downtime]. */
    fun crash(upstream: VirtualUpstream) {
        record("crashed ${upstream.declared.id}")
        upstream.crash()
        fleet.time.after(downtime) { upstream.restart() }
    }

    /** Sends the request with [body] [visits] times, every [interval]. */
    fun send(visits: Int, interval: Duration = 1_500.milliseconds, body: BodyDigest = BodyDigest(1)) = repeat(visits) {
        val vm = fleet.vms[nextVmIndex++ % fleet.vms.size]
        record("sent to ${vm.id}")
        val head = FakeRequestHead(method, path, shape.apiKeyOf("customer-1"), deadline = 1.seconds)
        fleet.request(vm, head, body) { result ->
            record("result $result")
            results.merge((result as? RequestResult.Refused)?.refusal?.reason, 1, Int::plus)
        }
        fleet.time.advanceBy(interval)
    }

    /** The number of crashes that operators count as retries: later than [CONTACT] after the third one. */
    fun lateCrashes(): Int = crashes.drop(ASCRIBED_CRASHES).count { it > crashes[ASCRIBED_CRASHES - 1] + CONTACT }

    override fun toString(): String = log.joinToString("\n")

    private fun record(event: String) {
        log += "${fleet.time.now.nanoseconds.inWholeMilliseconds} ms: $event"
    }

    private companion object {
        const val ASCRIBED_CRASHES = 3
        val CONTACT = 3.seconds
    }
}

/** Tests, under virtual time, that a request which crashes the upstreams that run it is soon refused on all VMs. */
class CrashingRequestTest :
    FunSpec({
        val kinds = listOf("GET" to "/catalogue/club-7", "GET" to "/arbiter/hall-7", "POST" to "/loans/a")

        for ((method, path) in kinds) {
            test("a request that comes again and again takes down at most two upstreams: $method $path") {
                for (seed in 1L..5L) {
                    val request = CrashingRequest(method, path, seed)
                    request.send(visits = 12)
                    withClue("seed $seed:\n$request") { request.crashes.size shouldBeLessThanOrEqual MAX_CRASHES }
                }
            }

            test("a request in quarantine is refused at once, and one with another body runs: $method $path") {
                val request = CrashingRequest(method, path, seed = 1)
                request.send(visits = 4)
                request.fleet.time.advanceBy(10.seconds)
                request.results.clear()
                request.send(visits = 9, interval = 5.milliseconds)
                request.results shouldBe mapOf(Reason.Quarantined to 9)
                request.results.clear()
                request.send(visits = 9, interval = 50.milliseconds, body = BodyDigest(2))
                withClue("$request") { request.results shouldBe mapOf(null to 9) }
            }

            test("a VM that starts later refuses the request as well: $method $path") {
                val request = CrashingRequest(method, path, seed = 1)
                request.send(visits = 4)
                val crashes = request.crashes.size
                request.fleet.vms.toList().forEach { old ->
                    request.fleet.addVm()
                    request.fleet.publishVmList()
                    request.fleet.time.advanceBy(6.seconds)
                    request.fleet.crash(old)
                }
                request.send(visits = 9)
                withClue("$request") { request.crashes.size shouldBe crashes }
            }

            test("no request is refused as a crashing one when upstreams crash for other reasons: $method $path") {
                for (seed in 1L..3L) {
                    val request = CrashingRequest(method, path, seed, crashingBody = null)
                    val pool = path.split('/')[1]
                    repeat(8) { round ->
                        val upstreams = request.fleet.upstreams.values.filter { it.pool.value == pool && !it.crashed }
                        request.send(visits = 100, interval = 10.milliseconds)
                        upstreams.filter { it.declared.zone == upstreams[round % upstreams.size].declared.zone }
                            .take(1 + round % 2).forEach(request::crash)
                    }
                    withClue("seed $seed: ${request.results}") {
                        request.results[Reason.Quarantined] shouldBe null
                        (request.results[null] ?: 0) shouldBeGreaterThan 0
                    }
                }
            }
        }

        test("where messages between VMs are lost, a crashing request is retried no more than operators allow") {
            for (seed in 1L..10L) {
                val network = NetworkConditions(lossProbability = 0.3)
                val request = CrashingRequest("GET", "/arbiter/hall-7", seed, network = network)
                request.send(visits = 20)
                withClue("seed $seed:\n$request") { request.lateCrashes() shouldBeLessThanOrEqual MAX_RETRIES }
            }
        }
    }) {
    private companion object {
        /** One crash may be a coincidence; after the second one the request must not run again. */
        const val MAX_CRASHES = 2

        /** How often operators allow a request to reach upstreams after it has crashed three. */
        const val MAX_RETRIES = 3
    }
}
