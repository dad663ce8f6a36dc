/*
 * The keeper's side of a customer's budget. Every entry VM is entitled to an equal portion of each customer's rate and
 * burst. A VM waives its portion to the keeper for a bounded time, and the keeper lends what was waived to whoever
 * has callers. A keeper never has anything to lend that was not waived to it, so two keepers at once, or none,
 * can't exceed the rate; see docs/design/admission.md.
 */
package cicadagauge.admission

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import cicadagauge.peer.PeerMessage

/** Lends the portions of one customer that were waived to this VM. */
internal class BudgetKeeper(private var portion: Portion, private val settings: BudgetSettings, now: Moment) {
    private val waivers = HashMap<VmId, Waiver>()
    private val bucket = TokenBucket(rate = 0.0, capacity = 0.0, since = now)

    /** Lends up to [request]'s demand and takes [vm]'s waiver; null where the request came out of its order. */
    fun request(vm: VmId, request: PeerMessage.BudgetRequest, now: Moment): Int? {
        val waiver = waivers.getOrPut(vm) { Waiver(until = now) }
        if (request.sequence <= waiver.sequence) return null
        waiver.sequence = request.sequence
        val stamp = request.stamp
        when {
            request.leave -> waiver.until = now
            stamp != null && stamp <= now -> waiver.until = maxOf(waiver.until, stamp + request.waiver)
        }
        resize(now)
        return if (request.leave) 0 else bucket.take(request.demand, now)
    }

    /** Lends nothing more of what was waived before [now]. */
    fun dropWaivers(now: Moment) {
        waivers.values.forEach { it.until = minOf(it.until, now) }
        resize(now)
    }

    /** Uses [newPortion] from [now] on. */
    fun redefine(newPortion: Portion, now: Moment) {
        portion = newPortion
        resize(now)
    }

    private fun resize(now: Moment) {
        waivers.values.removeIf { it.until + settings.idleWaiver <= now }
        val count = waivers.values.count { it.until > now }
        bucket.resize(portion.ratePerSecond * count, portion.lendable(settings.maxLoan) * count, now)
    }

    /** One VM's waiver, and the highest sequence of its requests. */
    private class Waiver(var until: Moment, var sequence: Long = Long.MIN_VALUE)
}
