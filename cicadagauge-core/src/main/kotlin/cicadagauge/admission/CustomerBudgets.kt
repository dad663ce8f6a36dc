/*
 * All customers' budgets on one VM, in both roles: the VM's own side of each, and the coordinator's side of those that
 * this VM coordinates. Coordinators are chosen by rendezvous hashing over the live VMs. VMs that disagree about the
 * coordinator refuse more requests, but don't exceed the rate.
 */
package cicadagauge.admission

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.BudgetSettings
import cicadagauge.node.Timers
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/** Admits requests within their customers' rate limits. Decisions are reported to an [AdmissionListener]. */
internal class CustomerBudgets(
    private val vms: VmDirectory,
    private val seats: SeatHolder,
    private val settings: BudgetSettings,
    private val timers: Timers,
    private val start: Moment,
) {
    private val accounts = HashMap<CustomerName, Account>()
    private val coordinators = HashMap<CustomerName, BudgetCoordinator>()
    private val roundTrips = RoundTripTimes(settings)
    private var stopping = false
    private var portions: Map<CustomerName, Portion> = emptyMap()
    private var customers: List<Customer> = emptyList()

    /** Receives the decision about a request: exactly one call of [admitted] or [refused], at once or later. */
    interface AdmissionListener {
        fun admitted(now: Moment)

        fun refused(shortage: Shortage, retryAfter: Duration, now: Moment)
    }

    /** Applies the customers of [declaration]; waiting requests of customers no longer limited are refused. */
    fun configure(declaration: Declaration, now: Moment) {
        customers = declaration.customers.filter { it.isLimited }
        divideRates(now)
    }

    /** Divides each customer's rate and burst by the current number of seats. */
    fun divideRates(now: Moment) {
        portions = customers.associate { it.name to Portion.of(it, seats.count, settings.clockDrift) }
        val removed = accounts.keys - portions.keys
        removed.forEach { name -> accounts.remove(name)?.refuseAll(Shortage.NoPortion, now) }
        coordinators.keys.retainAll(portions.keys)
        for ((name, portion) in portions) {
            coordinators[name]?.updatePortion(portion, now)
            accounts.getOrPut(name) { Account(name, portion) }.budget.updatePortion(portion, now)
        }
        requestDueTokens(now)
    }

    /**
     * Admits or refuses one request of [customer], or queues it until there is a token, but not for so long that it
     * could not be served before its [deadline].
     */
    fun admit(customer: CustomerName, deadline: Moment, listener: AdmissionListener, now: Moment) {
        val account = accounts.getValue(customer)
        account.budget.recordArrival()
        if (account.waiting.isEmpty() && account.budget.tryTake(now)) return listener.admitted(now)
        val giveUpAt = now + (deadline - now) * MAX_WAIT_FRACTION
        val shortage = account.shortageFor(giveUpAt, now)
        if (shortage != null) return account.refuse(listener, shortage, now)
        account.await(listener, giveUpAt)
        requestTokens(account, now)
    }

    /** Answers a request for tokens as the coordinator, from another VM or this one; null where no reply is due. */
    fun answerRequest(from: VmId, request: PeerMessage.BudgetRequest, now: Moment): PeerMessage.BudgetReply? {
        val portion = portions[request.customer] ?: return null
        if (stopping) {
            return PeerMessage.BudgetReply(request.customer, request.sequence, now, tokens = 0, released = true)
        }
        val coordinator = coordinators.getOrPut(request.customer) { BudgetCoordinator(portion, settings, now) }
        val tokens = coordinator.answer(from, request, now) ?: return null
        val settling = coordinator.isSettling(now)
        return PeerMessage.BudgetReply(request.customer, request.sequence, now, tokens, request.leave, settling)
    }

    /** Answers [renewal] of VM [from] as the coordinator; null where no reply is due. */
    fun answerRenewal(from: VmId, renewal: PeerMessage.WaiverRenewal, now: Moment): PeerMessage.WaiverReply? {
        val replies = WaiverRenewals.requests(renewal).mapNotNull { answerRequest(from, it, now) }
        return WaiverRenewals.combineReplies(replies, now)
    }

    /** Handles a coordinator's reply for several customers. */
    fun handleWaiverReply(from: VmId, reply: PeerMessage.WaiverReply, now: Moment): Unit =
        WaiverRenewals.replies(reply).forEach { handleReply(from, it, now) }

    /** Handles a coordinator's reply and decides about the requests that waited for it. */
    fun handleReply(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        val account = accounts[reply.customer] ?: return
        if (!account.budget.handleReply(from, reply, now)) return
        account.admitWaiting(now)
        when {
            account.waiting.isEmpty() -> Unit
            account.budget.isUsedUp -> account.refuseAll(Shortage.RateUsedUp, now)
            // Requests that arrived after tokens were requested are not covered by this reply.
            else -> requestTokens(account, now)
        }
    }

    /** Admits the waiting requests that have a token by now, and requests tokens for every customer where it is due. */
    private fun requestDueTokens(now: Moment) {
        val requests = LinkedHashMap<Vm, MutableList<PeerMessage.BudgetRequest>>()
        for (account in accounts.values) {
            account.admitWaiting(now)
            requestTokens(account, now) { vm, request -> requests.getOrPut(vm) { ArrayList() } += request }
        }
        requests.forEach { (vm, list) -> WaiverRenewals.combine(list).forEach { vms.send(vm, it) } }
    }

    /** Drops borrowed tokens and the waivers made to this VM, since its clock may have stopped meanwhile. */
    fun suspended(now: Moment) {
        accounts.values.forEach { it.budget.dropLoans() }
        coordinators.values.forEach { it.dropWaivers(now) }
    }

    /** [vm] no longer coordinates budgets: the portions that were waived to it may be used here again. */
    fun coordinatorLeft(vm: VmId, now: Moment) {
        accounts.values.forEach { it.budget.waiverReleased(vm, now) }
        requestDueTokens(now)
    }

    /** Stops lending: every waiver to this VM is given up, and each VM is told so in reply to its next request. */
    fun stop() {
        stopping = true
        coordinators.clear()
    }

    /** Starts the periodic check for due requests. */
    fun start(now: Moment) {
        roundTrips.retain(vms::isListed)
        requestDueTokens(now)
        timers.at(now + settings.requestInterval / 2, ::start)
    }

    private fun requestTokens(
        account: Account,
        now: Moment,
        send: (Vm, PeerMessage.BudgetRequest) -> Unit = vms::send,
    ) {
        if (!account.budget.isRequestDue(account.waiting.size, now)) return
        val coordinator = coordinatorFor(account) ?: return
        val leave = coordinator != vms.responsibleFor(account.duty)
        val request = account.budget.nextRequest(coordinator.id, account.waiting.size, leave, now)
        if (coordinator.id == vms.self) {
            answerRequest(vms.self, request, now)?.let { handleReply(vms.self, it, now) }
        } else {
            send(coordinator, request)
            timers.at(account.budget.answerDue()) { answerDue(account, coordinator.id, request.sequence, it) }
        }
    }

    /** If the reply of [coordinator] to request [sequence] is missing, suspects that VM and asks another one. */
    private fun answerDue(account: Account, coordinator: VmId, sequence: Long, now: Moment) {
        if (!account.budget.isOverdue(sequence, now)) return
        vms.suspect(coordinator, until = now + settings.coordinatorSuspicion)
        account.budget.answerMissed()
        account.admitWaiting(now)
        account.refuseHopeless(now)
        if (account.waiting.isNotEmpty()) requestTokens(account, now)
    }

    /**
     * The VM to send the next request to: the responsible one, or a former coordinator that is reachable and still has
     * the portion, to end the waiver there.
     */
    private fun coordinatorFor(account: Account): Vm? {
        val responsibleVm = vms.responsibleFor(account.duty)
        val former = account.budget.waivedTo?.takeIf { it != responsibleVm?.id } ?: return responsibleVm
        return vms.vm(former)?.takeUnless { vms.isSuspectedOrLeaving(former) } ?: responsibleVm
    }

    private inner class Account(val customer: CustomerName, portion: Portion) {
        val budget = CustomerBudget(customer, portion, settings, roundTrips, seats::usableFrom, start)
        val waiting = ArrayDeque<WaitingRequest>()
        val duty = WaiverRenewals.dutyOf(customer)
        private var nextGiveUp = Moment.FUTURE

        /** Admits as many waiting requests as there are tokens for. */
        fun admitWaiting(now: Moment) {
            while (waiting.isNotEmpty() && budget.tryTake(now)) waiting.removeFirst().listener.admitted(now)
        }

        /** Why a request that arrives at [now] can't wait until [giveUpAt]; null if it may. */
        fun shortageFor(giveUpAt: Moment, now: Moment): Shortage? {
            if (waiting.size >= settings.maxWaitingPerCustomer) return Shortage.QueueFull
            return budget.shortageAt(waiting.size + 1, giveUpAt, now)
        }

        fun await(listener: AdmissionListener, giveUpAt: Moment) {
            waiting.addLast(WaitingRequest(listener, giveUpAt))
            scheduleGiveUp(giveUpAt)
        }

        /** Refuses the last of the waiting requests, as long as no token can be expected for them in time. */
        fun refuseHopeless(now: Moment) {
            while (waiting.isNotEmpty()) {
                val shortage = budget.shortageAt(waiting.size, waiting.last().giveUpAt, now) ?: return
                refuse(waiting.removeLast().listener, shortage, now)
            }
        }

        fun refuseAll(shortage: Shortage, now: Moment) {
            while (waiting.isNotEmpty()) refuse(waiting.removeFirst().listener, shortage, now)
        }

        fun refuse(listener: AdmissionListener, shortage: Shortage, now: Moment): Unit =
            listener.refused(shortage, budget.retryAfter(shortage, waiting.size + 1, now), now)

        private fun scheduleGiveUp(moment: Moment) {
            if (moment >= nextGiveUp) return
            nextGiveUp = moment
            timers.at(moment) { if (nextGiveUp == moment) giveUp(it) }
        }

        /** Refuses the requests that have waited for as long as they may. */
        private fun giveUp(now: Moment) {
            nextGiveUp = Moment.FUTURE
            admitWaiting(now)
            val (expired, others) = waiting.partition { it.giveUpAt <= now }
            waiting.clear()
            waiting += others
            expired.forEach { refuse(it.listener, budget.shortage(now), now) }
            others.minOfOrNull { it.giveUpAt }?.let(::scheduleGiveUp)
        }
    }

    private class WaitingRequest(val listener: AdmissionListener, val giveUpAt: Moment)

    private companion object {
        /** The part of the time until its deadline for which a request may wait for a token. */
        const val MAX_WAIT_FRACTION = 0.5
    }
}
