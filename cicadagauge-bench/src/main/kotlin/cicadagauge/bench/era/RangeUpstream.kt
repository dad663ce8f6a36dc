package cicadagauge.bench.era

import cicadagauge.bench.virtual.Endpoint
import cicadagauge.identity.UpstreamId
import cicadagauge.ownership.HandoverToken
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderOutcome

/**
 * An upstream of [slots] slots that refuses grants with a fence below the highest one it has seen, and whose holds
 * expire by a clock that is as slow as the protocol allows. Times are in nanoseconds of virtual time.
 */
class RangeUpstream(number: Int, private val slots: Int) {
    private val highestFence = LongArray(slots)
    private val heldUntil = LongArray(slots)
    val id = UpstreamId("u$number")
    val endpoint = Endpoint(id.value, "upstreams")

    /** Rises with each start. */
    var run = 1
        private set

    /** Whether the process runs. */
    var isUp = true
        private set

    /** Whether it leaves, so that its slots have to move. */
    var isDraining = false

    /** What it registers of itself, see [EraFleetCodecs]. */
    val registration: String get() = if (isDraining) "$run draining" else "$run"

    /** Whether it holds [slot] at [now]. */
    fun holds(slot: Int, now: Long): Boolean = isUp && heldUntil[slot] > now

    /** Carries out [order], which arrived at [arrival]. */
    fun handle(order: RangeOrder, arrival: Long): RangeOrderOutcome {
        val range = order.slots.first..order.slots.last
        return when (order) {
            is RangeOrder.Grant -> {
                if (range.any { highestFence[it] > order.fence.value }) return RangeOrderOutcome.Superseded
                val end = arrival + (order.hold * SLOWEST_CLOCK_FACTOR).inWholeNanoseconds
                range.forEach { highestFence[it] = order.fence.value }
                range.forEach { heldUntil[it] = maxOf(heldUntil[it], end) }
                RangeOrderOutcome.Accepted()
            }
            is RangeOrder.Release -> {
                range.forEach { highestFence[it] = maxOf(highestFence[it], order.fence.value) }
                range.forEach { heldUntil[it] = 0 }
                RangeOrderOutcome.Accepted(HandoverToken("h"))
            }
        }
    }

    /** Ends the process, which forgets all it has. */
    fun crash() {
        isUp = false
        highestFence.fill(0)
        heldUntil.fill(0)
    }

    /** Starts the process again. */
    fun restart() {
        if (isUp) return
        run++
        isUp = true
    }

    private companion object {
        // 1 + RangeSettings.upstreamDrift
        const val SLOWEST_CLOCK_FACTOR = 1.02
    }
}
