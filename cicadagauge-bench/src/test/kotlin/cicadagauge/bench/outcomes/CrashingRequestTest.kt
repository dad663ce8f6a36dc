package cicadagauge.bench.outcomes

import cicadagauge.bench.ownership.FakeRequestHead
import cicadagauge.bench.ownership.KnownFailure
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualUpstream
import cicadagauge.node.Effect
import cicadagauge.standins.deployment.DeploymentShape
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet in which every upstream that starts to run a request for [path] crashes, and comes back after [downtime]. The
 * request is sent again and again, each time as a new one to another VM.
 */
private class CrashingRequest(method: String, private val path: String, seed: Long) : FleetObserver {
    private val shape = DeploymentShape.HOSHIZORA
    private val head = FakeRequestHead(method, path, shape.apiKeyOf("customer-1"), deadline = 1.seconds)
    private val fleet = VirtualFleet(FleetSettings(shape, seed = seed), this).start()
    private val downtime = 4.seconds
    private var nextVmIndex = 0

    /** What happened, with the virtual time of each event in milliseconds. */
    val log = ArrayList<String>()

    /** The number of upstreams that the request has crashed. */
    var crashes = 0
        private set

    init {
        fleet.time.advanceBy(10.seconds)
    }

    override fun onRequestStarted(fleet: VirtualFleet, upstream: VirtualUpstream, request: Effect.Forward) {
        if (fleet.headOf(request.id)?.path != path) return
        crashes++
        record("crashed ${upstream.declared.id}")
        upstream.crash()
        fleet.time.after(downtime) { upstream.restart() }
    }

    /** Sends the request [visits] times, every [interval]. */
    fun send(visits: Int, interval: Duration = 1_500.milliseconds) = repeat(visits) {
        val vm = fleet.vms[nextVmIndex++ % fleet.vms.size]
        record("sent to ${vm.id}")
        fleet.request(vm, head) { record("result $it") }
        fleet.time.advanceBy(interval)
    }

    private fun record(event: String) {
        log += "${fleet.time.now / NANOS_PER_MILLISECOND} ms: $event"
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000
    }
}

/** Tests, under virtual time, that a request which crashes the upstreams that run it is soon refused on all VMs. */
class CrashingRequestTest :
    FunSpec({
        val knownFailures = KnownFailure.read()

        for ((method, path) in listOf("GET" to "/catalogue/club-7", "GET" to "/arbiter/hall-7", "POST" to "/loans/a")) {
            val name = "a request that comes again and again takes down at most two upstreams: $method $path"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                for (seed in 1L..5L) {
                    val request = CrashingRequest(method, path, seed)
                    request.send(visits = 12)
                    withClue("seed $seed:\n${request.log.joinToString("\n")}") {
                        request.crashes shouldBeLessThanOrEqual MAX_CRASHES
                    }
                }
            }
        }
    }) {
    private companion object {
        /** One crash may be a coincidence; after the second one the request must not run again. */
        const val MAX_CRASHES = 2
    }
}
