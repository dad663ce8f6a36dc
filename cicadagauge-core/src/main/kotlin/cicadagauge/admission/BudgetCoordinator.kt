/*
 * The coordinator's side of a customer's budget. Every entry VM is entitled to an equal portion of each customer's rate
 * and burst. A VM waives its portion to the coordinator for a bounded time, and the coordinator lends tokens from the
 * waived portions to the VMs that receive requests. It lends nothing that was not waived to it, so two coordinators at
 * once, or none, can't exceed the rate; see docs/design/admission.md.
 */
package cicadagauge.admission

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import cicadagauge.peer.PeerMessage

/** Lends tokens from those portions of one customer's budget that were waived to this VM. */
internal class BudgetCoordinator(private var portion: Portion, private val settings: BudgetSettings, now: Moment) {
    private val waivers = HashMap<VmId, Waiver>()
    private val bucket = TokenBucket(rate = 0.0, capacity = 0.0, since = now)
    private var lendsSince = Moment.FUTURE

    /**
     * Renews [vm]'s waiver, or ends it where [request] says that [vm] leaves, and returns the number of tokens lent to
     * it, at most the demand of [request]. A waiver counts from the request's stamp, a reading of this VM's own clock.
     * Null where [request] is not newer than one already handled.
     */
    fun answer(vm: VmId, request: PeerMessage.BudgetRequest, now: Moment): Int? {
        val waiver = waivers.getOrPut(vm) { Waiver(until = now) }
        if (request.sequence <= waiver.sequence) return null
        waiver.sequence = request.sequence
        val stamp = request.stamp
        when {
            request.leave -> waiver.until = now
            stamp != null && stamp <= now -> waiver.until = maxOf(waiver.until, stamp + request.waiver)
        }
        resizeBucket(now)
        return if (request.leave) 0 else bucket.take(request.demand, now)
    }

    /**
     * Whether portions have been waived to this VM for so short a time that a lack of tokens doesn't mean that the rate
     * is used up.
     */
    fun isSettling(now: Moment): Boolean = now < lendsSince + settings.waiver

    /** Ends all waivers at [now], so that nothing more is lent from them. */
    fun dropWaivers(now: Moment) {
        waivers.values.forEach { it.until = minOf(it.until, now) }
        resizeBucket(now)
    }

    /** Sets the size of one VM's portion from [now] on. */
    fun updatePortion(newPortion: Portion, now: Moment) {
        portion = newPortion
        resizeBucket(now)
    }

    private fun resizeBucket(now: Moment) {
        waivers.values.removeIf { it.until + settings.idleWaiver <= now }
        val count = waivers.values.count { it.until > now }
        lendsSince = if (count == 0) Moment.FUTURE else minOf(lendsSince, now)
        bucket.resize(portion.ratePerSecond * count, portion.maxLendableTokens(settings.maxLoanLifetime) * count, now)
    }

    /**
     * One VM's waiver, and the highest sequence number of its requests, by which delayed ones are recognized. It is
     * therefore kept for [BudgetSettings.idleWaiver] after the waiver has ended.
     */
    private class Waiver(var until: Moment, var sequence: Long = Long.MIN_VALUE)
}
