package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.node.RangeSettings

/**
 * Upstreams that count as lost although they may still be registered. Each is probed with a release of a single slot
 * that it doesn't own, under a fence below all others, and may own ranges again once it has accepted a probe.
 */
internal class SuspectedOwners(
    private val pool: PoolName,
    private val orders: RangeOrders,
    private val times: RangeSettings,
) {
    private val nextProbeAt = HashMap<RangeOwner, Moment>()

    /** Whether [owner] was marked as lost and has not accepted a probe since. */
    operator fun contains(owner: RangeOwner): Boolean = owner in nextProbeAt

    /** Marks [owner] as lost; the next probe follows after [RangeSettings.probeInterval]. */
    fun add(owner: RangeOwner, now: Moment) {
        nextProbeAt[owner] = now + times.probeInterval
    }

    /** Probes the owners whose last probe is [RangeSettings.probeInterval] ago. */
    fun probe(now: Moment) {
        for (owner in nextProbeAt.filterValues { it <= now }.keys) {
            nextProbeAt[owner] = now + times.probeInterval
            orders.send(owner, PROBE.copy(pool = pool)) { outcome, _ ->
                if (outcome is RangeOrderOutcome.Accepted) nextProbeAt -= owner
            }
        }
    }

    /** Removes every owner for which [isKnown] is false. */
    fun retain(isKnown: (RangeOwner) -> Boolean) {
        nextProbeAt.keys.retainAll(isKnown)
    }

    private companion object {
        val PROBE = RangeOrder.Release(PoolName(""), SlotRange(first = 0, last = 0), RecordVersion.NONE)
    }
}
