/*
 * The keeper's side of a tenant's budget. Every entry VM is entitled to an equal portion of each tenant's rate and
 * burst. A VM waives its portion to the keeper for a bounded time, and the keeper lends what was waived to whoever
 * has callers. A keeper never has anything to lend that was not waived to it, so two keepers at once, or none,
 * can't exceed the rate; see docs/design/admission.md.
 */
package cicadagauge.admission

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings

/** Lends the portions of one tenant that were waived to this VM. */
internal class BudgetKeeper(private var portion: Portion, private val settings: BudgetSettings, now: Moment) {
    private val waivers = HashMap<VmId, Moment>()
    private val bucket = TokenBucket(rate = 0.0, capacity = 0.0, since = now)

    /** Takes [vm]'s waiver, proved by the [stamp] of an earlier reply, and lends it up to [demand] tokens. */
    fun request(vm: VmId, stamp: Moment?, demand: Int, now: Moment): Int {
        if (stamp != null && stamp <= now) waivers.merge(vm, stamp + settings.waiver, ::maxOf)
        resize(now)
        return bucket.take(demand, now)
    }

    /** Uses [newPortion] from [now] on. */
    fun redefine(newPortion: Portion, now: Moment) {
        portion = newPortion
        resize(now)
    }

    private fun resize(now: Moment) {
        waivers.values.removeIf { it <= now }
        val count = waivers.size
        bucket.resize(portion.ratePerSecond * count, portion.lendable(settings.maxLoan) * count, now)
    }
}
