package cicadagauge.ownership

import cicadagauge.identity.Address
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.node.OwnershipSettings

/**
 * What an allocator knows of one upstream: what it may hold, until when, and what it was last told.
 *
 * [lapsesAt] is an upper bound, on this VM's clock, of the moment at which everything that the upstream may hold
 * has expired. Before the upstream is claimed, nothing bounds it.
 */
internal class HolderState(val upstream: UpstreamId, var address: Address, private val settings: OwnershipSettings) {
    private var incarnation: Incarnation? = null
    private val earlierRuns = ArrayDeque<Incarnation>()
    private var reading = Moment.PAST
    private var readingAt = Moment.PAST
    private var ackedStep: GrantStep? = null
    private var fencedUntil = Moment.PAST
    private var newRun = false

    /** Whether the upstream refuses every lower term. */
    var claimed = false
        private set

    var lapsesAt: Moment = Moment.FUTURE
        private set

    /** What the upstream held validly when it was claimed, or holds by this allocator's orders. */
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

    /** Since when the upstream has answered without a break or a restart. */
    var steadySince: Moment = Moment.FUTURE
        private set

    /** Whether the upstream says that it wants no new work. */
    var draining = false
        private set

    /** Whether the upstream has not answered for too long at [now]. */
    fun isSilent(now: Moment): Boolean = lastHeard + settings.suspicion <= now

    /** Whether nothing that the upstream holds is still valid at [now]. */
    fun hasLapsed(now: Moment): Boolean = lapsesAt <= now

    /** Whether the upstream has confirmed its step, so that it holds nothing beyond [slots]. */
    val isConfirmed: Boolean get() = claimed && ackedStep == step

    /** Everything that an unclaimed upstream was granted by others expires by [moment]. */
    fun proveLapse(moment: Moment) {
        if (!claimed) lapsesAt = minOf(lapsesAt, moment)
    }

    /** Sets what the upstream is to hold at [newStep]. */
    fun assign(newStep: GrantStep, newSlots: SlotSet) {
        step = newStep
        slots = newSlots
    }

    /** Whether the upstream runs anew and what the run before it held has expired, so that nobody serves its slots. */
    fun isEmptyHanded(now: Moment): Boolean = newRun && hasLapsed(now)

    /**
     * The order to send at [now]: a lease where the upstream may be given one, a claim otherwise. A new run has
     * forgotten every term, so only an allocator that is [confirmed] to hold the highest one gives it a lease.
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
     * Takes the answer to an order of this allocator's term; true where it was the first. [fresh] says that no
     * other allocator can have granted anything.
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
     * Another run answers now. It is given nothing before the last lease of the run before it has expired, since a
     * run that is frozen, and not dead, may still come back.
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
