package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.node.RequestHead
import cicadagauge.outcome.Reason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** A request head for simulations and tests. [key] is the API key of the customer. */
data class FakeRequestHead(
    override val method: String,
    override val path: String,
    val key: String? = null,
    override val deadline: Duration? = null,
    override val query: String? = null,
) : RequestHead {
    override fun header(name: String): String? = key.takeIf { name == RequestHead.KEY_HEADER }
}

/**
 * Sends a request for each of [keys] routing keys every [interval], through the VMs in turn, and records for each key
 * the longest time without an answer.
 */
class Prober(private val fleet: VirtualFleet, private val route: String, private val keys: Int) {
    private val interval = 40.milliseconds
    private val lastAnswer = LongArray(keys)
    private val gaps = LongArray(keys)
    private var measuringSince = Long.MAX_VALUE
    private var nextVmIndex = 0

    /** The number of refused requests by reason. */
    val refusals = sortedMapOf<Reason, Int>()

    /** The number of requests answered. */
    var answered = 0L
        private set

    /** Starts sending requests, spread evenly over one interval. */
    fun start() {
        for (key in 0 until keys) fleet.time.after(interval * key / keys) { sendProbe(key) }
    }

    /** Resets all counters and starts to measure gaps. */
    fun startMeasuring() {
        measuringSince = fleet.time.now
        lastAnswer.fill(measuringSince)
        gaps.fill(0)
        refusals.clear()
        answered = 0
    }

    /**
     * The longest time that any key went unanswered since [startMeasuring], less two [interval]s; at least zero. They
     * are subtracted because the time between two requests is no outage: up to one interval without a request may
     * precede an outage, and up to one may follow it.
     */
    fun longestGap(): Duration {
        val openGaps = lastAnswer.map { fleet.time.now - it }
        val longest = gaps.zip(openGaps) { gap, openGap -> maxOf(gap, openGap) }.max()
        return maxOf(Duration.ZERO, longest.nanoseconds - interval * 2)
    }

    private fun sendProbe(key: Int) {
        fleet.time.after(interval) { sendProbe(key) }
        val vm = nextVm() ?: return
        val customer = fleet.settings.shape.customers.first()
        val head = FakeRequestHead("GET", "$route/key-$key", fleet.settings.shape.apiKeyOf(customer))
        fleet.request(vm, head) { result -> onResult(key, result) }
    }

    private fun onResult(key: Int, result: RequestResult) {
        when (result) {
            RequestResult.Answered -> {
                answered++
                if (measuringSince == Long.MAX_VALUE) return
                gaps[key] = maxOf(gaps[key], fleet.time.now - lastAnswer[key])
                lastAnswer[key] = fleet.time.now
            }
            is RequestResult.Refused -> refusals.merge(result.refusal.reason, 1, Int::plus)
        }
    }

    /** Picks a VM in turn, as the platform's load balancer does, among those that pass its readiness checks. */
    private fun nextVm(): VirtualVm? {
        val usable = fleet.vms.filter { it.isReady() && !it.leaving }
        return if (usable.isEmpty()) null else usable[nextVmIndex++ % usable.size]
    }
}
