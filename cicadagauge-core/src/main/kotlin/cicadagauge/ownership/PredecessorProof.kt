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
 * [OutageWitness].
 *
 * @param proved reports, once, the bound for all predecessors, which may lie in the future
 */
internal class PredecessorProof(
    private val initial: OwnershipRecord,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
    private val start: Moment,
    private val proved: (stoppedAt: Moment, now: Moment) -> Unit,
) {
    private val unproven = initial.predecessors.toMutableSet()
    private val promisesEnd = HashMap<VmId, Moment>()
    private var lastStop = start

    /** Asks the predecessors, and the VMs that may back them, for the confirmations that are still missing. */
    fun seek(now: Moment) {
        for (vm in unproven.toList()) {
            val listed = vms.vm(vm)
            when {
                vm == vms.self || vms.isGone(vm, start, settings.listLag, now) -> stopped(vm, now, now)
                listed != null -> vms.send(listed, PeerMessage.Yield(initial.pool, initial.term))
            }
            if (vm in unproven) seekBackers(vm, now)
        }
    }

    /** Notes that the allocator on [vm] sent its last order at [at] at the latest. */
    fun stopped(vm: VmId, at: Moment, now: Moment) {
        if (!unproven.remove(vm)) return
        lastStop = maxOf(lastStop, at)
        if (unproven.isEmpty()) proved(lastStop, now)
    }

    /** Notes that [vm]'s promises to holders of lower terms end after [lasting], and that it makes no more of them. */
    fun noted(vm: VmId, lasting: Duration, now: Moment) {
        promisesEnd.merge(vm, now + lasting * (1 + 2 * settings.clockDrift), ::minOf)
        unproven.toList().forEach { seekBackers(it, now) }
    }

    private fun seekBackers(predecessor: VmId, now: Moment) {
        val possible = vms.backersOf(predecessor, initial.backedElsewhere, start, settings.listLag, now) ?: return
        val silent = possible.filter { it.id !in promisesEnd }
        silent.forEach { vms.send(it, PeerMessage.TermRaised(initial.pool, initial.term)) }
        if (silent.isNotEmpty()) return
        stopped(predecessor, at = possible.maxOfOrNull { promisesEnd.getValue(it.id) } ?: start, now = now)
    }
}
