package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/**
 * The [StopDetector] of the first allocators after the store has come back from an older copy. The store may have lost
 * the terms of allocators of which this VM has never heard, so that there is none to ask. They give no more orders once
 * the lease that they had in the earlier era is over, and the promises of all VMs that may back them are. Where this VM
 * can't know all of these, the bound is the time for which an allocator renews at all without the store.
 *
 * @param knowsAllVms whether this VM knows every VM that may be an allocator of an earlier era, or back one
 * @param onAllStopped reports, once, the bound for all earlier allocators, which may lie in the future
 */
internal class LostEraDetector(
    private val initial: OwnershipRecord,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
    private val start: Moment,
    private val knowsAllVms: Boolean,
    private val onAllStopped: (stoppedAt: Moment, now: Moment) -> Unit,
) : StopDetector {
    private val promisesEnd = HashMap<VmId, Moment>()
    private var isReported = false

    // An answer of the earlier era may have been on its way when this term began.
    private val storelessEnd =
        start + settings.ranges.storelessRenewal * (1 + 2 * settings.clockDrift) + settings.storeOutTimeout

    override fun requestConfirmations(now: Moment) {
        if (isReported) return
        val missing = otherVms(now).filter { it.id !in promisesEnd }
        missing.forEach { vms.send(it, PeerMessage.TermRaised(initial.pool, initial.term)) }
        val promised = promisesEnd.values.maxOrNull() ?: start
        when {
            knowsAllVms && missing.isEmpty() -> report(maxOf(start + settings.longestLease, promised), now)
            now >= storelessEnd -> report(storelessEnd, now)
        }
    }

    /** Ignored: there may be another allocator of which this VM doesn't know. */
    override fun predecessorStopped(vm: VmId, at: Moment, now: Moment) = Unit

    override fun termNoted(vm: VmId, lasting: Duration, now: Moment) {
        promisesEnd.merge(vm, now + lasting * (1 + 2 * settings.clockDrift), ::minOf)
        requestConfirmations(now)
    }

    private fun otherVms(now: Moment) = vms.possiblyRunning(start, settings.listLag, now)

    private fun report(stoppedAt: Moment, now: Moment) {
        isReported = true
        onAllStopped(stoppedAt, now)
    }
}
