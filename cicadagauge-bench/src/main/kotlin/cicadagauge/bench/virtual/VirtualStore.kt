package cicadagauge.bench.virtual

import cicadagauge.identity.Moment
import cicadagauge.standins.store.StoreModel
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The platform store under virtual time. A call without a reply is reported as unavailable after [patience]. */
class VirtualStore(private val time: VirtualTime, private val network: VirtualNetwork) {
    private val patience = 400.milliseconds
    private var expiryAt = Long.MAX_VALUE

    /** The network address of the store. */
    val site = Site("store", "store")

    /** The content of the store. */
    val model = StoreModel()

    /** Whether the store is down: calls neither take effect nor get a reply. */
    var out = false

    /** Whether the replies to successful writes are lost; the writes themselves take effect. */
    var losesAnswers = false

    /** An additional delay of every reply. */
    var delay: Duration = Duration.ZERO

    /** Makes [call] for the process at [from]. [reply] receives the result or [StoreReply.Unavailable], once. */
    fun call(from: Site, call: StoreCall, reply: (StoreReply) -> Unit) {
        val wait = if (call is StoreCall.Watch) call.wait else Duration.ZERO
        var done = false
        val answer = { result: StoreReply ->
            if (!done) {
                done = true
                reply(result)
            }
        }
        time.after(patience + wait) { answer(StoreReply.Unavailable) }
        network.send(from, site) {
            if (out) return@send
            model.handle(call, now()) { result -> sendBack(from, result, answer) }
            scheduleExpiry()
        }
    }

    private fun sendBack(to: Site, result: StoreReply, answer: (StoreReply) -> Unit) {
        if (out || (losesAnswers && result is StoreReply.Written)) return
        time.after(delay) { network.send(site, to) { answer(result) } }
    }

    private fun scheduleExpiry() {
        val next = model.nextExpiry()?.nanos ?: return
        if (next >= expiryAt && expiryAt > time.now) return
        expiryAt = maxOf(next, time.now + EXPIRY_STEP)
        time.at(expiryAt) {
            if (!out) model.expire(now())
            if (expiryAt <= time.now) expiryAt = Long.MAX_VALUE
            scheduleExpiry()
        }
    }

    private fun now() = Moment(time.now)

    private companion object {
        const val EXPIRY_STEP = 1_000_000L
    }
}
