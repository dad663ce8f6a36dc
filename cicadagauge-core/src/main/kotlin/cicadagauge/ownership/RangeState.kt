package cicadagauge.ownership

import cicadagauge.identity.Moment
import kotlin.time.Duration

/**
 * What proves that an upstream can't hold a range any more. Refused or reset connections and silence prove nothing: to
 * this VM, an upstream behind a partition looks the same as one that has stopped, and it may go on serving others.
 */
internal enum class EndOfHold {
    /** It has released the range. */
    Released,

    /** Another upstream has answered at its address. */
    Replaced,

    /** It has registered again, with a later run. That run may have accepted a grant that was meant for the earlier. */
    Restarted,

    /** The last hold that it can have been granted has expired, by the slowest clock allowed. */
    Expired,
}

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

    private var isReplaced = false
    private var isFormerReplaced = false

    /** Whether the owner has refused the last connection. */
    var isRefusing: Boolean = false
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

    /** What proves that the owner can't hold the range any more at [now], or null as long as it may. */
    fun endOfHold(now: Moment): EndOfHold? = when {
        isReplaced -> EndOfHold.Replaced
        restartedOwner != null -> EndOfHold.Restarted
        !isOrderInFlight && now >= lapsesAt -> EndOfHold.Expired
        else -> null
    }

    private fun endOfFormerHold(now: Moment): EndOfHold? = when {
        hasFormerReleased -> EndOfHold.Released
        isFormerReplaced -> EndOfHold.Replaced
        now >= formerLapsesAt -> EndOfHold.Expired
        else -> null
    }

    /** Whether no upstream but the owner can hold the range at [now]. */
    fun isVacated(now: Moment): Boolean = range.former == null || endOfFormerHold(now) != null

    /** Whether the owner's run has ended, or is suspected to: it refuses connections or was silent for [silence]. */
    fun isLost(now: Moment, silence: Duration): Boolean =
        isReplaced || restartedOwner != null || isRefusing || isSilent(now, silence)

    private fun isSilent(now: Moment, silence: Duration) = failingSince?.let { it + silence <= now } ?: false

    /**
     * Whether the range may be assigned to another owner at [now]. It may not while an order is in flight or its former
     * owner may still hold it. With an owner that is lost, it waits for the [endOfHold].
     */
    fun mayMove(now: Moment, silence: Duration): Boolean = when {
        isOrderInFlight || !isVacated(now) -> false
        isLost(now, silence) -> endOfHold(now) != null
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
        isRefusing = false
        handover = null
    }

    /** Notes that the owner has refused the connection at [now], so that the order had no effect; retry at [next]. */
    fun connectionRefused(now: Moment, next: Moment) {
        orderFailed(lapsesAt, now, next)
        isRefusing = true
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

    /** Notes that another upstream has answered at the owner's address. */
    fun ownerReplaced() {
        isReplaced = true
    }

    /** Notes that another upstream has answered at the former owner's address. */
    fun formerReplaced() {
        isFormerReplaced = true
    }

    /** Notes that the owner has restarted, as [owner]. */
    fun ownerRestarted(owner: RangeOwner) {
        restartedOwner = owner
    }

    /** Resumes orders to an owner that was considered lost, because there is no other upstream. */
    fun retry(now: Moment) {
        isReplaced = false
        isRefusing = false
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

    /** When the owner's hold is over; with an order in flight it may last until [maxGrantTime] after [now]. */
    fun longestHold(maxGrantTime: Duration, now: Moment): Moment =
        if (isOrderInFlight) maxOf(lapsesAt, now + maxGrantTime) else lapsesAt

    /** The state of [part], a part of this range that stays with its owner, see [longestHold]. */
    fun part(part: OwnedRange, maxGrantTime: Duration, now: Moment): RangeState {
        val state = RangeState(part, longestHold(maxGrantTime, now), formerLapsesAt)
        state.isClaimed = isClaimed
        state.failingSince = failingSince
        state.isReplaced = isReplaced
        state.isRefusing = isRefusing
        state.restartedOwner = restartedOwner
        return state
    }
}
