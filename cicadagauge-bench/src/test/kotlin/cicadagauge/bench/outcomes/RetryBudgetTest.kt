package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effect
import cicadagauge.node.NodeSettings
import cicadagauge.standins.KnownFailure
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends a steady load to all pools of a fleet and counts, for the pool [faulty] and in each second, the requests of
 * callers and the arrivals at upstreams, rejected ones included.
 */
private class RetryLoad(seed: Long, private val faulty: String, private val requestsPerSecond: Int = 450) :
    FleetObserver {
    private val shape = DeploymentShape.HOSHIZORA
    private val random = Random(seed)
    private val fleet = VirtualFleet(
        FleetSettings(shape, seed = seed) { vm, zone ->
            NodeSettings(vm, zone, dispatch = DispatchSettings(retryRatio = RATIO, retryBurst = SLACK))
        },
        this,
    ).start()
    private val traffic = shape.traffic.flatMap { kind -> List(kind.weight) { kind } }
    private val requests = ArrayList<Int>()
    private val retries = ArrayList<Int>()
    private val arrived = HashSet<String>()
    private var sent = 0

    init {
        fleet.time.advanceBy(10.seconds)
    }

    override fun onRequestArrived(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        val path = fleet.headOf(request.id)?.path ?: return
        if (upstream.pool.value == faulty && !arrived.add(path)) retries[retries.lastIndex]++
    }

    /** Applies [fault] to the upstreams of the pool and runs the load for [seconds]. */
    fun run(seconds: Int, fault: VirtualUpstream.() -> Unit) {
        fleet.upstreams.values.filter { it.pool.value == faulty }.forEach { it.fault() }
        repeat(seconds) {
            requests += 0
            retries += 0
            repeat(requestsPerSecond) { sendOne() }
        }
    }

    /** The largest part of the allowed retries that was used in any window of [WINDOW_SECONDS]; at most 1 is allowed. */
    fun worstUse(): Double = (WINDOW_SECONDS..retries.size).maxOf { end ->
        val window = end - WINDOW_SECONDS until end
        retries.slice(window).sum() / (RATIO * requests.slice(window).sum() + SLACK)
    }

    private fun sendOne() {
        val kind = traffic[random.nextInt(traffic.size)]
        if (kind.pool == faulty) requests[requests.lastIndex]++
        val path = kind.path.replace(Regex("\\{[a-z]+}"), "key-${++sent}")
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        fleet.request(vm, FakeRequestHead(kind.method, path, shape.apiKeyOf("customer-1"), DEADLINE)) { }
        fleet.time.advanceBy(1.seconds / requestsPerSecond)
    }

    private companion object {
        const val RATIO = 0.2
        const val SLACK = 58
        const val WINDOW_SECONDS = 10
        val DEADLINE = 300.milliseconds
    }
}

/** Tests, under virtual time, that the VMs together don't send more retries to a pool than operators allow. */
class RetryBudgetTest :
    FunSpec({
        val knownFailures = KnownFailure.read()
        val faults = mapOf<String, VirtualUpstream.() -> Unit>(
            "lose all answers" to { losesAnswers = true },
            "reject all requests" to { rejectsRequests = true },
        )

        for ((pool, fault) in listOf("arbiter", "catalogue").flatMap { pool -> faults.keys.map { pool to it } }) {
            val name = "retries to a pool stay within a fifth of its requests plus 58 in 10 s: $pool, $fault"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                for (seed in 1L..3L) {
                    val load = RetryLoad(seed, pool)
                    load.run(seconds = 20, faults.getValue(fault))
                    withClue("seed $seed") { load.worstUse() shouldBeLessThanOrEqual 1.0 }
                }
            }
        }
    })
