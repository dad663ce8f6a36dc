package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.node.RangeSettings

/**
 * Upstreams that count as lost although they may still be registered. Each is probed with a release of a single slot
 * that it doesn't own, under a fence below all others, and may own ranges again once it has accepted one.
 */
internal class DoubtedOwners(
    private val pool: PoolName,
    private val orders: RangeOrders,
    private val times: RangeSettings,
) {
    private val probeAt = HashMap<RangeOwner, Moment>()

    /** Whether [owner] was marked as lost and has not accepted a probe since. */
    operator fun contains(owner: RangeOwner): Boolean = owner in probeAt

    /** Marks [owner] as lost; the first probe follows after [RangeSettings.doubtFor]. */
    fun add(owner: RangeOwner, now: Moment) {
        probeAt[owner] = now + times.doubtFor
    }

    /** Probes the owners whose last probe is [RangeSettings.doubtFor] ago. */
    fun probe(now: Moment) {
        for (owner in probeAt.filterValues { it <= now }.keys) {
            probeAt[owner] = now + times.doubtFor
            orders.send(owner, SIGN_OF_LIFE.copy(pool = pool)) { outcome, _ ->
                if (outcome is RangeOrderOutcome.Accepted) probeAt -= owner
            }
        }
    }

    /** Removes every owner for which [isKnown] is false. */
    fun retain(isKnown: (RangeOwner) -> Boolean) {
        probeAt.keys.retainAll(isKnown)
    }

    private companion object {
        val SIGN_OF_LIFE = RangeOrder.Release(PoolName(""), SlotRange(first = 0, last = 0), RecordVersion.NONE)
    }
}
