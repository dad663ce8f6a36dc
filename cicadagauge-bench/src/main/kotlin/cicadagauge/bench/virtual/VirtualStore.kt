package cicadagauge.bench.virtual

import cicadagauge.identity.Moment
import cicadagauge.standins.store.StoreCopy
import cicadagauge.standins.store.StoreModel
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The platform store under virtual time. A call without a reply is reported as unavailable after [callTimeout], a watch
 * after its wait plus [callTimeout].
 */
class VirtualStore(private val time: VirtualTime, private val network: VirtualNetwork) {
    private val callTimeout = 400.milliseconds
    private var nextExpiryAt = Long.MAX_VALUE

    /** The network address of the store. */
    val endpoint = Endpoint("store", "store")

    /** The content of the store. */
    val model = StoreModel()

    /** Whether the store is down: calls neither take effect nor get a reply. */
    var isDown = false

    /** The processes whose calls are refused at once, while those of the others are served. */
    var refused: Set<Endpoint> = emptySet()

    /** Whether the replies to successful writes are lost; the writes themselves take effect. */
    var losesWriteReplies = false

    /** An additional delay of every reply. */
    var replyDelay: Duration = Duration.ZERO

    /**
     * Makes [call] for the process at [from]. [reply] is called exactly once, with the result and the store's era or
     * with [StoreReply.Unavailable].
     */
    fun call(from: Endpoint, call: StoreCall, reply: (StoreReply, StoreEra?) -> Unit) {
        val wait = if (call is StoreCall.Watch) call.wait else Duration.ZERO
        var done = false
        val answer = { result: StoreReply, era: StoreEra? ->
            if (!done) {
                done = true
                reply(result, era)
            }
        }
        time.after(callTimeout + wait) { answer(StoreReply.Unavailable, null) }
        network.send(from, endpoint) {
            if (isDown) return@send
            if (from in refused) return@send sendReply(from, StoreReply.Unavailable, answer)
            model.handle(call, now()) { result -> sendReply(from, result, answer) }
            scheduleExpiry()
        }
    }

    /** Comes back from [copy], as after an outage: see [StoreModel.comeBackFrom]. */
    fun comeBackFrom(copy: StoreCopy) {
        model.comeBackFrom(copy, now())
        isDown = false
        scheduleExpiry()
    }

    private fun sendReply(to: Endpoint, result: StoreReply, answer: (StoreReply, StoreEra?) -> Unit) {
        if (isDown || (losesWriteReplies && result is StoreReply.Written)) return
        val era = model.era
        time.after(replyDelay) { network.send(endpoint, to) { answer(result, era) } }
    }

    private fun scheduleExpiry() {
        val next = model.nextExpiry()?.nanos ?: return
        if (next >= nextExpiryAt && nextExpiryAt > time.now) return
        nextExpiryAt = maxOf(next, time.now + MIN_EXPIRY_INTERVAL_NANOS)
        time.at(nextExpiryAt) {
            if (!isDown) model.expire(now())
            if (nextExpiryAt <= time.now) nextExpiryAt = Long.MAX_VALUE
            scheduleExpiry()
        }
    }

    private fun now() = Moment(time.now)

    private companion object {
        const val MIN_EXPIRY_INTERVAL_NANOS = 1_000_000L
    }
}
