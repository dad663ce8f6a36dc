package cicadagauge.ownership

import cicadagauge.identity.Address
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.node.OwnershipSettings

/**
 * What an allocator knows of one upstream: the slots that it may hold, until when, and the last step it has confirmed.
 *
 * An upstream is claimed once it has answered an order of this allocator's term; it refuses all lower terms from then
 * on.
 */
internal class HolderState(val upstream: UpstreamId, var address: Address, private val settings: OwnershipSettings) {
    private var incarnation: Incarnation? = null
    private val earlierRuns = ArrayDeque<Incarnation>()
    private var reading = Moment.PAST
    private var readingAt = Moment.PAST
    private var ackedStep: GrantStep? = null
    private var fencedUntil = Moment.PAST
    private var newRun = false

    /** Whether the upstream has accepted this allocator's term, so that it refuses every lower one. */
    var claimed = false
        private set

    /**
     * An upper bound, on this VM's clock, of the expiry of everything that the upstream may hold. Before the upstream
     * is claimed, only [proveLapse] bounds it.
     */
    var lapsesAt: Moment = Moment.FUTURE
        private set

    /** The slots that the upstream held under a valid lease when claimed, or is to hold by this allocator's orders. */
    var slots: SlotSet = SlotSet.EMPTY
        private set

    /** The position in the history of grants that the upstream is to reach. */
    var step: GrantStep = GrantStep.NONE
        private set

    /** The upstream's first report to this allocator. */
    var claimReport: GrantReport? = null
        private set

    /** When the upstream last answered. */
    var lastHeard: Moment = Moment.PAST
        private set

    /** When the present series of answers began, without an interruption or a restart. */
    var steadySince: Moment = Moment.FUTURE
        private set

    /** Whether the upstream has reported that it accepts no new work. */
    var draining = false
        private set

    /** Whether the upstream has not answered for [OwnershipSettings.suspicion] at [now]. */
    fun isSilent(now: Moment): Boolean = lastHeard + settings.suspicion <= now

    /** Whether everything that the upstream may hold has expired at [now]. */
    fun hasLapsed(now: Moment): Boolean = lapsesAt <= now

    /** Whether the upstream has confirmed its step, so that it holds nothing beyond [slots]. */
    val isConfirmed: Boolean get() = claimed && ackedStep == step

    /** Notes that all grants of other allocators to the upstream expire by [moment]; no effect once it is claimed. */
    fun proveLapse(moment: Moment) {
        if (!claimed) lapsesAt = minOf(lapsesAt, moment)
    }

    /** Sets the slots that the upstream is to hold at [newStep]. */
    fun assign(newStep: GrantStep, newSlots: SlotSet) {
        step = newStep
        slots = newSlots
    }

    /** Whether the upstream has restarted and its earlier leases have expired, so that no upstream serves its slots. */
    fun isEmptyHanded(now: Moment): Boolean = newRun && hasLapsed(now)

    /**
     * The order to send at [now]: a lease if the upstream may be given one, a claim otherwise. An upstream forgets all
     * terms when it restarts, so it gets a lease only if the allocator is [confirmed] to hold the highest one.
     */
    fun order(pool: PoolName, term: Term, members: List<Member>, confirmed: Boolean, now: Moment): GrantOrder {
        if (confirmed) newRun = false
        val run = incarnation.takeUnless { newRun }
        val nothingToHold = slots.size == 0 && (isConfirmed || hasLapsed(now))
        if (!claimed || run == null || nothingToHold || isSilent(now) || now < fencedUntil) {
            return GrantOrder.Claim(pool, upstream, term)
        }
        lapsesAt = maxOf(lapsesAt, readingAt + bound())
        val content = GrantContent(slots, members).takeUnless { isConfirmed }
        return GrantOrder.Lease(pool, upstream, term, run, step, content, reading + settings.lease)
    }

    /**
     * Handles the answer to an order of this allocator's term. Returns whether it was the first one, which claims the
     * upstream. [fresh] tells that no other allocator can have granted anything.
     */
    fun reported(report: GrantReport, fresh: Boolean, now: Moment): Boolean {
        val outdated = report.incarnation in earlierRuns ||
            (report.incarnation == incarnation && report.reading < reading)
        if (outdated) return false
        if (isSilent(now) || report.incarnation != incarnation) steadySince = now
        if (report.incarnation != incarnation) restarted(report.incarnation)
        lastHeard = now
        draining = report.draining
        reading = report.reading
        readingAt = now
        ackedStep = report.step
        if (claimed) return false
        claim(report, fresh, now)
        return true
    }

    /**
     * Notes that another run of the upstream answers. It gets no lease before the last one of the earlier run has
     * expired, since that run may be frozen instead of dead, and may resume.
     */
    private fun restarted(run: Incarnation) {
        incarnation?.let { earlierRuns.addLast(it) }
        if (earlierRuns.size > MAX_EARLIER_RUNS) earlierRuns.removeFirst()
        if (claimed) {
            fencedUntil = lapsesAt
            newRun = true
        }
        incarnation = run
    }

    private fun claim(report: GrantReport, fresh: Boolean, now: Moment) {
        claimed = true
        claimReport = report
        slots = if (report.leaseValid) report.slots else SlotSet.EMPTY
        step = report.step
        val unknownPast = report.step == GrantStep.NONE && !fresh
        lapsesAt = if (report.leaseValid || unknownPast) minOf(lapsesAt, now + bound()) else now
        if (unknownPast) fencedUntil = lapsesAt
    }

    private fun bound() = settings.lease * (1 + 2 * settings.clockDrift)

    private companion object {
        const val MAX_EARLIER_RUNS = 16
    }
}
