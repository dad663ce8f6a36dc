package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.store.StoreKey

/** Decides when it is this VM's turn to take the vacant duty of [pool], whose key is [dutyKey]. */
internal class TakeoverTurn(
    private val pool: PoolName,
    private val dutyKey: StoreKey,
    private val dependencies: DutyServices,
    private val madePromises: MadePromises,
) {
    private val vms = dependencies.vms
    private val settings = dependencies.settings

    /**
     * When this VM may take a duty that is vacant from [since]: once every VM that ranks before it has had time to take
     * it. Null if it may not take the duty at all.
     */
    fun after(since: Moment): Moment? {
        val rank = ownRank()
        if (rank < 0) return null
        return maxOf(since + settings.standbyStagger * rank, madePromises.until, earliestSafeTakeover())
    }

    private fun ownRank(): Int {
        val eligible = dependencies.candidates.eligible()
        return vms.ranked(dutyKey.value).filter { it.id in eligible }.sortedBy { vms.isCutOff(it.id) }
            .indexOfFirst { it.id == vms.self }
    }

    /**
     * The time from which every VM that might be the allocator has this VM on its list, so that it needs this VM's
     * promise. [Moment.PAST] if there is no known allocator, or it is this VM, has stopped or is no longer listed.
     */
    private fun earliestSafeTakeover(): Moment {
        val record = dependencies.owners[pool]?.record ?: return Moment.PAST
        val last = record.allocator
        val mayStillAllocate = last != vms.self && vms.isListed(last) && !madePromises.hasStopped(last, record.term)
        return if (mayStillAllocate) vms.selfListedSince + settings.outagePromise * 2 else Moment.PAST
    }
}
