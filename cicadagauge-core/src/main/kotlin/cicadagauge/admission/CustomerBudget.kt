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

/**
 * Admits one customer's requests on one VM. [usableFrom] returns when this VM's entitlement to a portion begins;
 * [roundTrips] is shared by all customers.
 */
internal class CustomerBudget(
    private val customer: CustomerName,
    private var portion: Portion,
    private val settings: BudgetSettings,
    private val roundTrips: RoundTripTimes,
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
    private val stamps = HashMap<VmId, Stamp>()
    private val sent = LinkedHashMap<Long, SentRequest>()
    private val loans = ArrayDeque<Loan>()
    private val demand = DemandMeter(start)
    private var sequence = start.nanos
    private var sentAt = Moment.PAST
    private var answerDue = Moment.PAST
    private var isAnswered = true
    private var isSilent = false
    private var isSettling = false
    private var quietUntil = Moment.PAST
    private var emptyUntil = Moment.PAST

    /** Whether the reply to the last request says that the rate is used up. */
    var isUsedUp = false
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
        return isOwnUsable(now) && ownBucket.take(1, now) == 1
    }

    /**
     * Why the request at [position] of those that wait at [now] can't expect a token until [giveUpAt]; null if it may
     * wait. While this VM's portion is waived, a late answer of the coordinator may still bring one.
     */
    fun shortageAt(position: Int, giveUpAt: Moment, now: Moment): Shortage? = when {
        now < emptyUntil -> Shortage.RateUsedUp
        mayBorrow() || !isOwnUsable(now) -> null
        ownBucket.timeUntil(position, now) <= giveUpAt - now -> null
        else -> Shortage.PortionUsedUp
    }

    /** Why a request has waited in vain until [now]. */
    fun shortage(now: Moment): Shortage = when {
        isOwnUsable(now) -> Shortage.PortionUsedUp
        isSilent || !isAnswered -> Shortage.AnswerLate
        else -> Shortage.NoPortion
    }

    /** Whether the reply to request [number], the last one, is overdue at [now]. */
    fun isOverdue(number: Long, now: Moment): Boolean = number == sequence && !isAnswered && now >= answerDue

    /** Nothing is expected from the coordinator any more until a VM answers. */
    fun answerMissed() {
        isSilent = true
    }

    /** Whether the next request can waive this VM's portion to the coordinator, so that its reply may bring tokens. */
    fun canStartWaiver(now: Moment): Boolean {
        val vm = coordinator ?: return isAnswered
        return isAnswered && isOwnUsable(now) && usableLoanLifetime(vm) > Duration.ZERO
    }

    /** When the coordinator's reply to the last request becomes overdue. */
    fun answerDue(): Moment = answerDue

    /** Whether to request tokens at [now], while [waiting] requests wait for one. */
    fun isRequestDue(waiting: Int, now: Moment): Boolean {
        if (!isAnswered && now < answerDue) return false
        val isSettled = demand.isIdle && waivedTo == coordinator
        if (now >= sentAt + if (isSettled) settings.idleRequestInterval else settings.requestInterval) return true
        if (now < quietUntil) return false
        return waiting > 0 || availableTokens(now) < (coordinator?.let(::targetTokens) ?: 0) / 2
    }

    /**
     * Builds the message that requests tokens from [vm], the customer's coordinator, and waives the own portion to it.
     * With [leave] it ends the waiver instead.
     */
    fun nextRequest(vm: VmId, waiting: Int, leave: Boolean, now: Moment): PeerMessage.BudgetRequest {
        coordinator = vm
        stamps.keys.removeIf { it != vm && it != waivedTo }
        sent.values.removeIf { it.at + settings.idleWaiver <= now }
        demand.closeWindow(settings.requestInterval / 2, now)
        val waiver = if (demand.isIdle && waiting == 0) settings.idleWaiver else settings.waiver
        val waived = if (leave) null else waiverFor(vm, waiver, now)
        sequence++
        sentAt = now
        answerDue = now + roundTrips.answerTimeout(vm)
        isAnswered = false
        isUsedUp = false
        val mayUseLoan = usableLoanLifetime(vm) > Duration.ZERO
        val wanted = if (mayUseLoan) targetTokens(vm) + waiting - availableTokens(now) else 0
        val request = PeerMessage.BudgetRequest(customer, sequence, waived, waiver, maxOf(0, wanted), leave)
        sent[sequence] = SentRequest(vm, now, request.demand)
        return request
    }

    /**
     * Handles a coordinator's reply, and returns false for one that was handled before. A late reply counts too, since
     * its loan lives from the request on, but only that to the last request tells the present state.
     */
    fun handleReply(from: VmId, reply: PeerMessage.BudgetReply, now: Moment): Boolean {
        val request = sent[reply.sequence]?.takeIf { it.to == from } ?: return false
        sent -= reply.sequence
        roundTrips.record(from, now - request.at)
        addLoan(reply.tokens, until = request.at + portion.loanLifetime(settings.maxLoanLifetime), now = now)
        if (!reply.released) adoptStamp(from, Stamp(reply.stamp, now))
        if (reply.sequence != sequence) return true
        isAnswered = true
        isSilent = false
        if (reply.released) {
            waiverReleased(from, now)
            return true
        }
        isSettling = reply.settling
        val startsWaiver = canStartWaiver(now)
        isUsedUp = reply.tokens < request.demand && !isSettling && !startsWaiver
        if (isUsedUp && reply.tokens == 0) emptyUntil = now + settings.emptyPause
        quietUntil = if (mayBorrow() || startsWaiver) emptyUntil else now + settings.requestInterval / 2
        return true
    }

    /** Discards all borrowed tokens, and those that are on their way. */
    fun dropLoans() {
        loans.clear()
        sent.clear()
        isAnswered = true
    }

    /** How long the caller of the request at [position] should wait before a retry, if it is refused at [now]. */
    fun retryAfter(shortage: Shortage, position: Int, now: Moment): Duration {
        val wait = when (shortage) {
            Shortage.RateUsedUp, Shortage.QueueFull -> Duration.ZERO
            Shortage.AnswerLate, Shortage.NoPortion -> minOf(ownUsableFrom - now, settings.idleWaiver)
            Shortage.PortionUsedUp -> minOf(ownBucket.timeUntil(position, now), settings.idleWaiver)
        }
        return maxOf(wait, settings.requestInterval)
    }

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
        val latestStamp = stamps[vm] ?: return null
        if (!hasUsableSeat(now) || (waivedTo != vm && now < ownUsableFrom)) return null
        if (usableLoanLifetime(vm) <= Duration.ZERO) return null
        val until = latestStamp.receivedAt + waiverBound(waiver)
        // A waiver that is over already would let the tokens accrue again that the own portion has given since.
        if (until <= now) return null
        waivedTo = vm
        ownUsableFrom = maxOf(ownUsableFrom, until)
        ownBucket.empty(from = ownUsableFrom)
        return latestStamp.reading
    }

    /** Takes back the portion, since coordinator [vm] has given up this VM's waiver; its bucket starts empty. */
    fun waiverReleased(vm: VmId, now: Moment) {
        if (coordinator == vm) coordinator = null
        stamps -= vm
        if (waivedTo != vm) return
        waivedTo = null
        ownUsableFrom = minOf(ownUsableFrom, now)
        ownBucket.empty(from = now)
    }

    /** Keeps the latest reading of [vm]'s clock; replies may overtake each other. */
    private fun adoptStamp(vm: VmId, stamp: Stamp) {
        val known = stamps[vm]
        if (known == null || known.reading < stamp.reading) stamps[vm] = stamp
    }

    private fun addLoan(tokens: Int, until: Moment, now: Moment) {
        if (tokens <= 0 || now >= until) return
        loans.add(loans.indexOfLast { it.until <= until } + 1, Loan(tokens, until))
    }

    /** Whether the coordinator can be expected to lend tokens. */
    private fun mayBorrow(): Boolean {
        val isNear = coordinator?.let { usableLoanLifetime(it) > Duration.ZERO } ?: true
        return !isSilent && !isSettling && isNear
    }

    private fun isOwnUsable(now: Moment): Boolean = now >= ownUsableFrom && hasUsableSeat(now)

    /** How long a loan of [vm] can be used here, given that its lifetime begins with the request for it. */
    private fun usableLoanLifetime(vm: VmId): Duration =
        portion.loanLifetime(settings.maxLoanLifetime) - roundTrips.smoothed(vm)

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
     * How many tokens borrowed from [vm] to aim for: those that will be used before they expire. A borrowed token that
     * expires is lost to all VMs, so for a customer with few requests here, tokens are requested one by one.
     */
    private fun targetTokens(vm: VmId): Int =
        demand.expectedArrivals(usableLoanLifetime(vm) * LOAN_USE_FRACTION).toInt()

    private fun availableTokens(now: Moment): Int = loans.sumOf { if (now < it.until) it.tokens else 0 }

    private companion object {
        /** The fraction of a loan's lifetime in which its tokens should be used up, since requests arrive unevenly. */
        const val LOAN_USE_FRACTION = 0.8
    }

    private class Loan(var tokens: Int, val until: Moment)

    /** A request for [demand] tokens that was sent [to] a coordinator [at] a moment, and is not answered yet. */
    private class SentRequest(val to: VmId, val at: Moment, val demand: Int)

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
