/*
 * An entry VM's side of one customer's budget: tokens borrowed from the coordinator while there is one, the VM's own
 * portion while there is none. The own portion is not used before every waiver of it has expired at the coordinator.
 */
package cicadagauge.admission

import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Admits one customer's requests on one VM. [usableFrom] returns when this VM's entitlement to a portion begins. */
internal class CustomerBudget(
    private val customer: CustomerName,
    private var portion: Portion,
    private val settings: BudgetSettings,
    private val usableFrom: () -> Moment,
    start: Moment,
) {
    /** The coordinator that this VM's portion is waived to, or null. */
    var waivedTo: VmId? = null
        private set

    private val ownBucket = TokenBucket(portion.ratePerSecond, portion.burst, start)
    private var ownUsableFrom = start
    private var isSeatUsable = false
    private var coordinator: VmId? = null
    private var stamp: Stamp? = null
    private val loans = ArrayDeque<Loan>()
    private val demand = DemandMeter(start)
    private var sequence = start.nanos
    private var sentAt = Moment.PAST
    private var isAnswered = true
    private var coordinatorEmptyUntil = Moment.PAST
    private var requestedTokens = 0

    /** Whether the coordinator's last reply lent fewer tokens than were requested. */
    var isShort = false
        private set

    /** Counts one arriving request for the estimate of demand. */
    fun recordArrival(): Unit = demand.recordArrival()

    /** Takes a token for one request; false if none is available. */
    fun tryTake(now: Moment): Boolean {
        val loan = currentLoan(now)
        if (loan != null) {
            loan.tokens--
            return true
        }
        return now >= ownUsableFrom && hasUsableSeat(now) && ownBucket.take(1, now) == 1
    }

    /** Whether a request that found no token at [now] may wait for the coordinator's reply. */
    fun canWait(now: Moment): Boolean =
        coordinator != null && now >= coordinatorEmptyUntil && (isAnswered || now < answerDue())

    /** Whether the coordinator's reply is overdue at [now]. */
    fun isOverdue(now: Moment): Boolean = !isAnswered && now >= answerDue()

    /** Whether the next request can waive this VM's portion to the coordinator, so that its reply may bring tokens. */
    fun canStartWaiver(now: Moment): Boolean =
        isAnswered && (coordinator == null || (waivedTo != coordinator && hasUsableSeat(now) && now >= ownUsableFrom))

    /** When the coordinator's reply to the last request becomes overdue. */
    fun answerDue(): Moment = sentAt + settings.answerTimeout

    /** Whether to request tokens at [now], while [waiting] requests wait for one. */
    fun isRequestDue(waiting: Int, now: Moment): Boolean {
        if (!isAnswered && now < answerDue()) return false
        val isSettled = demand.isIdle && waivedTo == coordinator
        if (now >= sentAt + if (isSettled) settings.idleRequestInterval else settings.requestInterval) return true
        if (now < coordinatorEmptyUntil) return false
        return waiting > 0 || availableTokens(now) < targetTokens() / 2
    }

    /**
     * Builds the message that requests tokens from [vm], the customer's coordinator, and waives the own portion to it.
     * With [leave] it ends the waiver instead.
     */
    fun nextRequest(vm: VmId, waiting: Int, leave: Boolean, now: Moment): PeerMessage.BudgetRequest {
        if (vm != coordinator) switchCoordinator(vm)
        demand.closeWindow(settings.requestInterval / 2, now)
        val waiver = if (demand.isIdle && waiting == 0) settings.idleWaiver else settings.waiver
        val waived = if (leave) null else waiverFor(vm, waiver, now)
        sequence++
        sentAt = now
        isAnswered = false
        val wanted = targetTokens() + waiting - availableTokens(now)
        requestedTokens = maxOf(0, wanted)
        return PeerMessage.BudgetRequest(customer, sequence, waived, waiver, requestedTokens, leave)
    }

    /** Handles a coordinator's reply; one to an earlier request, or from another VM, is ignored. */
    fun handleReply(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        if (from != coordinator || reply.sequence != sequence || isAnswered) return
        isAnswered = true
        if (reply.released) return waiverReleased(from, now)
        stamp = Stamp(reply.stamp, now)
        isShort = reply.tokens < requestedTokens
        if (reply.tokens == 0 && isShort && !canStartWaiver(now)) {
            coordinatorEmptyUntil = now + settings.emptyPause
            return
        }
        val until = sentAt + portion.loanLifetime(settings.maxLoanLifetime)
        if (reply.tokens > 0 && now < until) loans.addLast(Loan(reply.tokens, until))
    }

    /** Discards all borrowed tokens. */
    fun dropLoans(): Unit = loans.clear()

    /** How long the caller of a refused request should wait before a retry. */
    fun retryAfter(): Duration = settings.requestInterval

    /** Sets the size of this VM's portion from [now] on. */
    fun updatePortion(newPortion: Portion, now: Moment) {
        portion = newPortion
        ownBucket.resize(newPortion.ratePerSecond, newPortion.burst, now)
    }

    /**
     * Renews the waiver to [vm], or makes one if none to another VM is still in force. Returns the reading of the
     * coordinator's clock from which the waiver counts, or null where nothing is waived.
     */
    private fun waiverFor(vm: VmId, waiver: Duration, now: Moment): Moment? {
        val latestStamp = stamp ?: return null
        if (!hasUsableSeat(now) || (waivedTo != vm && now < ownUsableFrom)) return null
        waivedTo = vm
        ownUsableFrom = maxOf(ownUsableFrom, latestStamp.receivedAt + waiverBound(waiver))
        ownBucket.empty(from = ownUsableFrom)
        return latestStamp.reading
    }

    /** Takes back the portion, since coordinator [vm] has given up this VM's waiver; its bucket starts empty. */
    fun waiverReleased(vm: VmId, now: Moment) {
        if (coordinator == vm) switchCoordinator(null)
        if (waivedTo != vm) return
        waivedTo = null
        ownUsableFrom = minOf(ownUsableFrom, now)
        ownBucket.empty(from = now)
    }

    private fun switchCoordinator(vm: VmId?) {
        coordinator = vm
        stamp = null
    }

    private fun hasUsableSeat(now: Moment): Boolean {
        if (!isSeatUsable && now >= usableFrom()) {
            isSeatUsable = true
            ownBucket.empty(from = maxOf(usableFrom(), ownUsableFrom))
        }
        return isSeatUsable
    }

    /** The longest time for which [waiver] may last on this VM's clock, if both clocks drift. */
    private fun waiverBound(waiver: Duration): Duration = waiver * (1 + 2 * settings.clockDrift)

    private fun currentLoan(now: Moment): Loan? {
        while (true) {
            val loan = loans.firstOrNull() ?: return null
            if (loan.tokens > 0 && now < loan.until) return loan
            loans.removeFirst()
        }
    }

    /**
     * How many borrowed tokens to aim for: those that will be used before they expire. A borrowed token that expires is
     * lost to all VMs, so for a customer with few requests here, tokens are requested one by one.
     */
    private fun targetTokens(): Int =
        demand.expectedArrivals(portion.loanLifetime(settings.maxLoanLifetime) * LOAN_USE_FRACTION).toInt()

    private fun availableTokens(now: Moment): Int = loans.sumOf { if (now < it.until) it.tokens else 0 }

    private companion object {
        /** The fraction of a loan's lifetime in which its tokens should be used up, since requests arrive unevenly. */
        const val LOAN_USE_FRACTION = 0.8
    }

    private class Loan(var tokens: Int, val until: Moment)

    /** A [reading] of the coordinator's clock, and when it was received by this VM's clock. */
    private class Stamp(val reading: Moment, val receivedAt: Moment)
}

/** Estimates the arrival rate of requests, as a moving average over measurement windows. */
internal class DemandMeter(private var since: Moment) {
    private var arrivals = 0
    private var rate = 0.0

    /** Whether no request has arrived in this window and the estimated rate is low. */
    val isIdle: Boolean get() = arrivals == 0 && rate < IDLE_REQUESTS_PER_SECOND

    /** Counts one arriving request. */
    fun recordArrival() {
        arrivals++
    }

    /** Ends the current window at [now] if it has lasted for at least [window]. */
    fun closeWindow(window: Duration, now: Moment) {
        val elapsed = now - since
        if (elapsed < window) return
        rate = (rate + arrivals / elapsed.toDouble(DurationUnit.SECONDS)) / 2
        arrivals = 0
        since = now
    }

    /** The number of requests expected within [period]. */
    fun expectedArrivals(period: Duration): Double = rate * period.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val IDLE_REQUESTS_PER_SECOND = 0.5
    }
}
