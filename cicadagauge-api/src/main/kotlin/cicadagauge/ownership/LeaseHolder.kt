/*
 * The upstream's side of the grant protocol: it handles grant orders, and checks the lease before a request runs and
 * again before the request takes effect. It reads no clock.
 */
package cicadagauge.ownership

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId

/** The lease on slots of [pool] that one run of an upstream, its [incarnation], holds. Not thread-safe. */
public class LeaseHolder(
    private val pool: PoolName,
    private val upstream: UpstreamId,
    private val incarnation: Incarnation,
) {
    private var term = Term.NONE
    private var step = GrantStep.NONE
    private var pendingStep: GrantStep? = null
    private var slots = SlotSet.EMPTY
    private var members: List<Member> = emptyList()
    private var expiresAt = Moment.PAST
    private var epoch = 0L
    private val runsPerSlot = HashMap<Slot, Int>()

    /** Whether this upstream accepts no new requests. */
    public var draining: Boolean = false

    /** Handles [order] at [now] and returns the resulting state. */
    public fun handle(order: GrantOrder, now: Moment): GrantReport {
        val accepted = order.upstream == upstream && order.term >= term && accept(order, now)
        completePendingStep()
        return report(accepted, now)
    }

    /** Whether a request for [slot] may start at [now]: the upstream holds the slot under a valid lease. */
    public fun canStart(slot: Slot, now: Moment): Boolean = now < expiresAt && slot in slots

    /** Registers a request for [slot] that starts to run. */
    public fun begin(slot: Slot): Run {
        runsPerSlot.merge(slot, 1, Int::plus)
        return Run(slot, epoch)
    }

    /** Whether [run] may take effect at [now]: the lease under which it started has not expired since. */
    public fun canCommit(run: Run, now: Moment): Boolean = now < expiresAt && run.epoch == epoch

    /** Registers the end of [run]. */
    public fun end(run: Run) {
        runsPerSlot.computeIfPresent(run.slot) { _, count -> (count - 1).takeIf { it > 0 } }
        completePendingStep()
    }

    /** Returns the state at [now]; [accepted] is copied to [GrantReport.accepted]. */
    public fun report(accepted: Boolean, now: Moment): GrantReport = GrantReport(
        pool = pool,
        upstream = upstream,
        incarnation = incarnation,
        reading = now,
        accepted = accepted,
        term = term,
        step = step,
        slots = slots + SlotSet.of(runsPerSlot.keys),
        leaseValid = now < expiresAt,
        members = members,
        draining = draining,
    )

    private fun accept(order: GrantOrder, now: Moment): Boolean = when (order) {
        is GrantOrder.Claim -> {
            term = order.term
            true
        }
        is GrantOrder.Lease -> acceptLease(order, now)
    }

    private fun acceptLease(order: GrantOrder.Lease, now: Moment): Boolean {
        val latestStep = pendingStep ?: step
        val stale = order.incarnation != incarnation || order.step < latestStep
        val unknownContent = order.content == null && order.step != latestStep
        if (stale || unknownContent) return false
        if (now >= expiresAt) epoch++
        term = order.term
        order.content?.let {
            slots = it.slots
            members = it.members
        }
        pendingStep = order.step
        expiresAt = maxOf(expiresAt, order.expiresAt)
        return true
    }

    /** Completes the pending step as soon as no request runs for a slot that the step revokes. */
    private fun completePendingStep() {
        val pending = pendingStep ?: return
        if (runsPerSlot.keys.any { it !in slots }) return
        step = pending
        pendingStep = null
    }

    /**
     * A running request.
     *
     * @property epoch identifies the uninterrupted lease under which the request started.
     */
    public data class Run(val slot: Slot, val epoch: Long)
}
