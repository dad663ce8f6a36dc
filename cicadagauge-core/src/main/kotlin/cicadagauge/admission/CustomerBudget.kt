/*
 * A VM's side of one customer's budget: tokens borrowed from the keeper while there is one, its own portion while
 * there is none. The own portion is never used before every waiver of it has run out at the keeper.
 */
package cicadagauge.admission

import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Admits one customer's requests on one VM. [usableFrom] says from when this VM is entitled to a portion. */
internal class CustomerBudget(
    private val customer: CustomerName,
    private var portion: Portion,
    private val settings: BudgetSettings,
    private val usableFrom: () -> Moment,
    start: Moment,
) {
    /** The keeper that this VM's portion is waived to, or null. */
    var waivedTo: VmId? = null
        private set

    private val own = TokenBucket(portion.ratePerSecond, portion.burst, start)
    private var ownFrom = start
    private var seated = false
    private var keeper: VmId? = null
    private var stamp: Stamp? = null
    private val loans = ArrayDeque<Loan>()
    private val demand = DemandMeter(start)
    private var sequence = start.nanos
    private var sentAt = Moment.PAST
    private var answered = true
    private var emptyUntil = Moment.PAST
    private var asked = 0

    /** Whether the keeper has lent less than it was asked for. */
    var isShort = false
        private set

    /** Counts one request that arrives. */
    fun count(): Unit = demand.count()

    /** Takes a token for one request if there is one. */
    fun take(now: Moment): Boolean {
        val loan = currentLoan(now)
        if (loan != null) {
            loan.tokens--
            return true
        }
        return now >= ownFrom && isSeated(now) && own.take(1, now) == 1
    }

    /** Whether a request that found no token at [now] may wait for the keeper's answer. */
    fun mayWait(now: Moment): Boolean = keeper != null && now >= emptyUntil && (answered || now < answerDue())

    /** Whether the keeper's answer is missing at [now]. */
    fun isOverdue(now: Moment): Boolean = !answered && now >= answerDue()

    /** Whether this VM is about to waive its portion to the keeper, so that the next answer may bring tokens. */
    fun isJoining(now: Moment): Boolean =
        answered && (keeper == null || (waivedTo != keeper && isSeated(now) && now >= ownFrom))

    /** When the keeper's answer to the last request counts as missing. */
    fun answerDue(): Moment = sentAt + settings.answerWait

    /** Whether to ask the keeper at [now], while [waiting] requests have found no token. */
    fun wantsRequest(waiting: Int, now: Moment): Boolean {
        if (!answered && now < answerDue()) return false
        val settled = demand.isIdle && waivedTo == keeper
        if (now >= sentAt + if (settled) settings.idleRefresh else settings.refresh) return true
        if (now < emptyUntil) return false
        return waiting > 0 || available(now) < ahead() / 2
    }

    /** The message that asks [vm], the customer's keeper, for tokens and waives the own portion to it. */
    fun request(vm: VmId, waiting: Int, leave: Boolean, now: Moment): PeerMessage.BudgetRequest {
        if (vm != keeper) switchTo(vm)
        demand.measure(settings.refresh / 2, now)
        val waiver = if (demand.isIdle && waiting == 0) settings.idleWaiver else settings.waiver
        val waived = if (leave) null else waiverFor(vm, waiver, now)
        sequence++
        sentAt = now
        answered = false
        val wanted = ahead() + waiting - available(now)
        asked = maxOf(0, wanted)
        return PeerMessage.BudgetRequest(customer, sequence, waived, waiver, asked, leave)
    }

    /** Takes the keeper's reply; an answer to an earlier request, or of another keeper, lends nothing. */
    fun reply(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        if (from != keeper || reply.sequence != sequence || answered) return
        answered = true
        if (reply.released) return released(from, now)
        stamp = Stamp(reply.stamp, now)
        isShort = reply.tokens < asked
        if (reply.tokens == 0 && isShort && !isJoining(now)) {
            emptyUntil = now + settings.emptyPause
            return
        }
        val until = sentAt + portion.loan(settings.maxLoan)
        if (reply.tokens > 0 && now < until) loans.addLast(Loan(reply.tokens, until))
    }

    /** Uses nothing more of what was lent. */
    fun dropLoans(): Unit = loans.clear()

    /** How long a refused request's caller should wait. */
    fun retryAfter(): Duration = settings.refresh

    /** Uses [newPortion] from [now] on. */
    fun redefine(newPortion: Portion, now: Moment) {
        portion = newPortion
        own.resize(newPortion.ratePerSecond, newPortion.burst, now)
    }

    /** Renews the waiver to [vm], or makes one if no other is still running; null where nothing is waived. */
    private fun waiverFor(vm: VmId, waiver: Duration, now: Moment): Moment? {
        val proof = stamp ?: return null
        if (!isSeated(now) || (waivedTo != vm && now < ownFrom)) return null
        waivedTo = vm
        ownFrom = maxOf(ownFrom, proof.receivedAt + safely(waiver))
        own.empty(from = ownFrom)
        return proof.reading
    }

    /** Keeper [vm] counts on no waiver any more, so the portion is this VM's own again, empty at first. */
    fun released(vm: VmId, now: Moment) {
        if (keeper == vm) switchTo(null)
        if (waivedTo != vm) return
        waivedTo = null
        ownFrom = minOf(ownFrom, now)
        own.empty(from = now)
    }

    private fun switchTo(vm: VmId?) {
        keeper = vm
        stamp = null
    }

    private fun isSeated(now: Moment): Boolean {
        if (!seated && now >= usableFrom()) {
            seated = true
            own.empty(from = maxOf(usableFrom(), ownFrom))
        }
        return seated
    }

    private fun safely(waiver: Duration): Duration = waiver * (1 + 2 * settings.clockDrift)

    private fun currentLoan(now: Moment): Loan? {
        while (true) {
            val loan = loans.firstOrNull() ?: return null
            if (loan.tokens > 0 && now < loan.until) return loan
            loans.removeFirst()
        }
    }

    /**
     * How many tokens to have in hand: what will be used while they live. A token that is borrowed and not used is lost
     * to every VM, so a customer with few requests here has its tokens asked for one by one.
     */
    private fun ahead(): Int = demand.expected(portion.loan(settings.maxLoan) * USED_IN_TIME).toInt()

    private fun available(now: Moment): Int = loans.sumOf { if (now < it.until) it.tokens else 0 }

    private companion object {
        /** The part of a loan's life in which its tokens should be used up, since requests come unevenly. */
        const val USED_IN_TIME = 0.8
    }

    private class Loan(var tokens: Int, val until: Moment)

    private class Stamp(val reading: Moment, val receivedAt: Moment)
}

/** Estimates how many requests arrive, from recent windows. */
internal class DemandMeter(private var since: Moment) {
    private var arrivals = 0
    private var rate = 0.0

    /** Whether no request has come for a while. */
    val isIdle: Boolean get() = arrivals == 0 && rate < IDLE_RATE

    /** Counts one request. */
    fun count() {
        arrivals++
    }

    /** Ends the present window at [now] if it has lasted for [window]. */
    fun measure(window: Duration, now: Moment) {
        val elapsed = now - since
        if (elapsed < window) return
        rate = (rate + arrivals / elapsed.toDouble(DurationUnit.SECONDS)) / 2
        arrivals = 0
        since = now
    }

    /** The requests to expect within [period]. */
    fun expected(period: Duration): Double = rate * period.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val IDLE_RATE = 0.5
    }
}
