package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.routing.OwnerDirectory
import kotlin.time.Duration

/** What this VM has promised to allocators of [pool] on other VMs: to leave the duty alone while the store is out. */
internal class DutyPromises(
    private val pool: PoolName,
    private val vms: VmDirectory,
    private val owners: OwnerDirectory,
    private val settings: OwnershipSettings,
) {
    private var raisedTerm = Term.NONE

    /** Until when this VM leaves the duty alone. */
    var until: Moment = Moment.PAST
        private set

    /**
     * Whether the holder of [term] may be promised anything. A VM that has just joined promises nothing: a successor
     * might not know yet that it has to be asked.
     */
    fun mayServe(term: Term, now: Moment): Boolean {
        val isKnown = vms.selfListedSince + settings.outagePromise * 2 <= now
        return isKnown && term >= highestTerm()
    }

    /** Leaves the duty alone for the promise time. */
    fun make(now: Moment) {
        until = maxOf(until, now + settings.outagePromise)
    }

    /** The allocator that was promised something has stopped. */
    fun release() {
        until = Moment.PAST
    }

    /** The term was raised to [term]: lower ones are promised nothing more. Returns how long the last promise lasts. */
    fun termRaised(term: Term, now: Moment): Duration {
        raisedTerm = maxOf(raisedTerm, term)
        return maxOf(Duration.ZERO, until - now)
    }

    private fun highestTerm(): Term = maxOf(raisedTerm, owners[pool]?.record?.term ?: Term.NONE)
}
