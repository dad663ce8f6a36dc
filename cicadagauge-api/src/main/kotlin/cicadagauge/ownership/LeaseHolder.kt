/*
 * The holder's side of the grant protocol: what an upstream does with grant orders, and the check that it makes
 * before it runs a request and again before the request takes effect. It reads no clock.
 */
package cicadagauge.ownership

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId

/** What one run of an upstream, its [incarnation], holds of [pool]. Not safe for use by several threads. */
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
    private val running = HashMap<Slot, Int>()

    /** Whether this upstream wants no new work. */
    public var draining: Boolean = false

    /** Handles [order] at [now] and reports what is held afterwards. */
    public fun handle(order: GrantOrder, now: Moment): GrantReport {
        val accepted = order.upstream == upstream && order.term >= term && accept(order, now)
        settle()
        return report(accepted, now)
    }

    /** Whether a request for [slot] may start at [now]. */
    public fun mayRun(slot: Slot, now: Moment): Boolean = now < expiresAt && slot in slots

    /** Counts a request for [slot] that starts to run. */
    public fun begin(slot: Slot): Run {
        running.merge(slot, 1, Int::plus)
        return Run(slot, epoch)
    }

    /** Whether [run] may take effect at [now]: the lease it began under has never lapsed since. */
    public fun mayFinish(run: Run, now: Moment): Boolean = now < expiresAt && run.epoch == epoch

    /** Counts a run that has ended. */
    public fun end(run: Run) {
        running.computeIfPresent(run.slot) { _, count -> (count - 1).takeIf { it > 0 } }
        settle()
    }

    /** What is held at [now], without an order. */
    public fun report(accepted: Boolean, now: Moment): GrantReport = GrantReport(
        pool = pool,
        upstream = upstream,
        incarnation = incarnation,
        reading = now,
        accepted = accepted,
        term = term,
        step = step,
        slots = slots + SlotSet.of(running.keys),
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
        val held = pendingStep ?: step
        val stale = order.incarnation != incarnation || order.step < held
        val unknownContent = order.content == null && order.step != held
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

    /** A step counts as taken once no request runs for a slot that it took away. */
    private fun settle() {
        val pending = pendingStep ?: return
        if (running.keys.any { it !in slots }) return
        step = pending
        pendingStep = null
    }

    /** One request that runs, with the [epoch] of the lease that it began under. */
    public data class Run(val slot: Slot, val epoch: Long)
}
