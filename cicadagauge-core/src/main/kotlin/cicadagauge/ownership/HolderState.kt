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
    private var clockReading = Moment.PAST
    private var clockReadAt = Moment.PAST
    private var confirmedStep: GrantStep? = null
    private var noLeaseUntil = Moment.PAST

    // Whether the upstream has restarted since this allocator was last certain to hold the highest term.
    private var hasUnconfirmedRestart = false

    /** Whether the upstream has accepted this allocator's term, so that it refuses every lower one. */
    var isClaimed = false
        private set

    /**
     * An upper bound, on this VM's clock, of the expiry of everything that the upstream may hold. Before the upstream
     * is claimed, only [limitLapse] bounds it.
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
    var lastAnswerAt: Moment = Moment.PAST
        private set

    /** When the present series of answers began, without an interruption or a restart. */
    var steadySince: Moment = Moment.FUTURE
        private set

    /** Whether the upstream has reported that it accepts no new work. */
    var isDraining = false
        private set

    /** Whether the upstream has not answered for [OwnershipSettings.grantAnswerTimeout] at [now]. */
    fun isSilent(now: Moment): Boolean = lastAnswerAt + settings.grantAnswerTimeout <= now

    /** Whether everything that the upstream may hold has expired at [now]. */
    fun hasLapsed(now: Moment): Boolean = lapsesAt <= now

    /** Whether the upstream has confirmed its step, so that it holds nothing beyond [slots]. */
    val isConfirmed: Boolean get() = isClaimed && confirmedStep == step

    /** Notes that all grants of other allocators to the upstream expire by [moment]; no effect once it is claimed. */
    fun limitLapse(moment: Moment) {
        if (!isClaimed) lapsesAt = minOf(lapsesAt, moment)
    }

    /** Sets the slots that the upstream is to hold at [newStep]. */
    fun assign(newStep: GrantStep, newSlots: SlotSet) {
        step = newStep
        slots = newSlots
    }

    /**
     * Whether the upstream has restarted, gets no lease before this allocator is certain to hold the highest term, and
     * its earlier leases have expired, so that no upstream serves its slots.
     */
    fun isRestartedAndLapsed(now: Moment): Boolean = hasUnconfirmedRestart && hasLapsed(now)

    /**
     * The order to send at [now]: a lease if the upstream may be given one, a claim otherwise. An upstream forgets all
     * terms when it restarts, so it gets a lease only if the allocator is [confirmed] to hold the highest one.
     */
    fun order(pool: PoolName, term: Term, members: List<Member>, confirmed: Boolean, now: Moment): GrantOrder {
        if (confirmed) hasUnconfirmedRestart = false
        val run = incarnation.takeUnless { hasUnconfirmedRestart }
        val nothingToHold = slots.size == 0 && (isConfirmed || hasLapsed(now))
        if (!isClaimed || run == null || nothingToHold || isSilent(now) || now < noLeaseUntil) {
            return GrantOrder.Claim(pool, upstream, term)
        }
        lapsesAt = maxOf(lapsesAt, clockReadAt + maxLeaseTime())
        val content = GrantContent(slots, members).takeUnless { isConfirmed }
        return GrantOrder.Lease(pool, upstream, term, run, step, content, clockReading + settings.lease)
    }

    /**
     * Handles the answer to an order of this allocator's term. Returns whether it was the first one, which claims the
     * upstream. [isFirstTerm] tells that no other allocator can have granted anything.
     */
    fun grantReported(report: GrantReport, isFirstTerm: Boolean, now: Moment): Boolean {
        val outdated = report.incarnation in earlierRuns ||
            (report.incarnation == incarnation && report.reading < clockReading)
        if (outdated) return false
        if (isSilent(now) || report.incarnation != incarnation) steadySince = now
        if (report.incarnation != incarnation) restarted(report.incarnation)
        lastAnswerAt = now
        isDraining = report.draining
        clockReading = report.reading
        clockReadAt = now
        confirmedStep = report.step
        if (isClaimed) return false
        claim(report, isFirstTerm, now)
        return true
    }

    /**
     * Notes that another run of the upstream answers. It gets no lease before the last one of the earlier run has
     * expired, since that run may be frozen instead of dead, and may resume.
     */
    private fun restarted(run: Incarnation) {
        incarnation?.let { earlierRuns.addLast(it) }
        if (earlierRuns.size > MAX_EARLIER_RUNS) earlierRuns.removeFirst()
        if (isClaimed) {
            noLeaseUntil = lapsesAt
            hasUnconfirmedRestart = true
        }
        incarnation = run
    }

    private fun claim(report: GrantReport, isFirstTerm: Boolean, now: Moment) {
        isClaimed = true
        claimReport = report
        slots = if (report.leaseValid) report.slots else SlotSet.EMPTY
        step = report.step
        val mayHoldUnknownLease = report.step == GrantStep.NONE && !isFirstTerm
        lapsesAt = if (report.leaseValid || mayHoldUnknownLease) minOf(lapsesAt, now + maxLeaseTime()) else now
        if (mayHoldUnknownLease) noLeaseUntil = lapsesAt
    }

    /** An upper bound, on this VM's clock, of the time for which a lease lasts on the upstream's clock. */
    private fun maxLeaseTime() = settings.lease * (1 + 2 * settings.clockDrift)

    private companion object {
        const val MAX_EARLIER_RUNS = 16
    }
}
