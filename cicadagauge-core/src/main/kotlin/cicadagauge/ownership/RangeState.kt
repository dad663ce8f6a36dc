package cicadagauge.ownership

import cicadagauge.identity.Moment
import kotlin.time.Duration

/**
 * What an allocator knows of one range: whether its owner answers, until when it may hold the range, and when the next
 * order is due. All times are on this VM's clock.
 */
internal class RangeState(var range: OwnedRange, lapsesAt: Moment, private var formerLapsesAt: Moment) {
    /** When the owner's hold has certainly expired, unless an order is in flight. */
    var lapsesAt: Moment = lapsesAt
        private set

    /** When the next order may be sent. */
    var nextOrderAt: Moment = Moment.PAST

    /** Whether an order is in flight. */
    var isOrderInFlight: Boolean = false

    /** Whether the owner has accepted the current fence, so that it refuses every lower one. */
    var isClaimed: Boolean = false
        private set

    /** Whether the owner's run has certainly ended. */
    var isGone: Boolean = false
        private set

    /** The owner in a later run, or null. That run may have accepted a grant that was meant for the earlier one. */
    var restartedOwner: RangeOwner? = null
        private set

    /** The token from the former owner that the next grant passes to the new owner, or null. */
    var handover: HandoverToken? = null
        private set
    private var failingSince: Moment? = null
    private var hasFormerReleased = false

    /** Whether [slot] lies in the range. */
    operator fun contains(slot: Int): Boolean = slot in range.slots.first..range.slots.last

    /** Whether no upstream but the owner can hold the range at [now]. */
    fun isVacated(now: Moment): Boolean = range.former == null || hasFormerReleased || now >= formerLapsesAt

    /** Whether the owner's run has ended, or it has rejected or not answered grants for [silence]. */
    fun isLost(now: Moment, silence: Duration): Boolean = isGone || restartedOwner != null || isSilent(now, silence)

    private fun isSilent(now: Moment, silence: Duration) = failingSince?.let { it + silence <= now } ?: false

    /**
     * Whether the range may be assigned to another owner at [now]. It may not while an order is in flight or its former
     * owner may still hold it. An owner that does not answer keeps its range until its hold has expired.
     */
    fun mayMove(now: Moment, silence: Duration): Boolean = when {
        isOrderInFlight || !isVacated(now) -> false
        isGone || restartedOwner != null -> true
        isLost(now, silence) -> now >= lapsesAt
        else -> true
    }

    /** Notes that an order was sent; it is in flight until [isOrderInFlight] is reset. */
    fun orderSent() {
        isOrderInFlight = true
    }

    /** Notes that the owner has accepted a grant and may hold the range until [until]; [next] is when to renew it. */
    fun grantAccepted(until: Moment, next: Moment) {
        lapsesAt = until
        nextOrderAt = next
        isClaimed = true
        failingSince = null
        handover = null
    }

    /**
     * Notes that a grant was rejected, or was not answered by [now]. The owner may hold the range until [until]; a
     * retry follows at [next].
     */
    fun orderFailed(until: Moment, now: Moment, next: Moment) {
        lapsesAt = maxOf(lapsesAt, until)
        nextOrderAt = next
        failingSince = failingSince ?: now
    }

    /** Notes that the owner's run has ended. */
    fun ownerGone() {
        isGone = true
    }

    /** Notes that the owner has restarted, as [owner]. */
    fun ownerRestarted(owner: RangeOwner) {
        restartedOwner = owner
    }

    /** Resumes orders to an owner that was considered lost, because there is no other upstream. */
    fun retry(now: Moment) {
        isGone = false
        failingSince = null
        nextOrderAt = now
    }

    /** Notes that the former owner has released the range. */
    fun formerReleased(token: HandoverToken?) {
        hasFormerReleased = true
        handover = token
    }

    /** Notes that all grants by allocators of lower terms expire by [moment]. */
    fun limitLapse(moment: Moment) {
        if (!isClaimed) lapsesAt = minOf(lapsesAt, moment)
        formerLapsesAt = minOf(formerLapsesAt, moment)
    }

    /**
     * The state of [part], a part of this range that stays with its owner. With an order in flight the hold may last
     * until [maxGrantTime] after [now].
     */
    fun part(part: OwnedRange, maxGrantTime: Duration, now: Moment): RangeState {
        val lapse = if (isOrderInFlight) maxOf(lapsesAt, now + maxGrantTime) else lapsesAt
        val state = RangeState(part, lapse, formerLapsesAt)
        state.isClaimed = isClaimed
        state.failingSince = failingSince
        state.isGone = isGone
        state.restartedOwner = restartedOwner
        return state
    }
}
