package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/**
 * Finds out for an allocator, which began its term at [start] with the record [initial], when its predecessors gave
 * their last order. One has stopped when it says so, when its VM has certainly gone, or when every VM that could back
 * its renewals has said until when its promises last and that it will give no more: an allocator without the store's
 * word renews nothing without such a promise, see [OutageWitness].
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

    /** Asks for what is still needed. */
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

    /** The allocator on [vm] gave its last order at [at] at the latest. */
    fun stopped(vm: VmId, at: Moment, now: Moment) {
        if (!unproven.remove(vm)) return
        lastStop = maxOf(lastStop, at)
        if (unproven.isEmpty()) proved(lastStop, now)
    }

    /** [vm] backs no lower term any more once [lasting] has passed. */
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
