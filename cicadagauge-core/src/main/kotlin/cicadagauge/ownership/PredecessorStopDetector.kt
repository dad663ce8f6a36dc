package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/**
 * Determines an upper bound of the time at which the predecessors of an allocator sent their last order. The allocator
 * began its term at [start] with the record [initial]. The bound is known once a predecessor says that it has stopped,
 * once its VM is certainly gone, or once every VM that could back its renewals has confirmed when its promises end and
 * that it makes no more: an allocator that is cut off from the store renews nothing without such a promise, see
 * [ReceivedPromises].
 *
 * @param onAllStopped reports, once, the bound for all predecessors, which may lie in the future
 */
internal class PredecessorStopDetector(
    private val initial: OwnershipRecord,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
    private val start: Moment,
    private val onAllStopped: (stoppedAt: Moment, now: Moment) -> Unit,
) : StopDetector {
    private val unconfirmed = initial.predecessors.toMutableSet()
    private val promisesEnd = HashMap<VmId, Moment>()

    // The lease of a predecessor may have been lost with the store's earlier era, and not have expired.
    private var lastOrderBound = if (initial.isUnsettled) start + settings.longestLease else start

    override fun requestConfirmations(now: Moment) {
        for (vm in unconfirmed.toList()) {
            val listed = vms.vm(vm)
            when {
                vm == vms.self || vms.isGone(vm, start, settings.listLag, now) -> predecessorStopped(vm, now, now)
                listed != null -> vms.send(listed, PeerMessage.Yield(initial.pool, initial.term))
            }
            if (vm in unconfirmed) checkBackers(vm, now)
        }
    }

    override fun predecessorStopped(vm: VmId, at: Moment, now: Moment) {
        if (!unconfirmed.remove(vm)) return
        lastOrderBound = maxOf(lastOrderBound, at)
        if (unconfirmed.isEmpty()) onAllStopped(lastOrderBound, now)
    }

    override fun termNoted(vm: VmId, lasting: Duration, now: Moment) {
        promisesEnd.merge(vm, now + lasting * (1 + 2 * settings.clockDrift), ::minOf)
        unconfirmed.toList().forEach { checkBackers(it, now) }
    }

    private fun checkBackers(predecessor: VmId, now: Moment) {
        val backers = vms.promisersOf(predecessor, initial.backedElsewhere, start, settings.listLag, now) ?: return
        val missing = backers.filter { it.id !in promisesEnd }
        missing.forEach { vms.send(it, PeerMessage.TermRaised(initial.pool, initial.term)) }
        if (missing.isNotEmpty()) return
        predecessorStopped(predecessor, at = backers.maxOfOrNull { promisesEnd.getValue(it.id) } ?: start, now = now)
    }
}
