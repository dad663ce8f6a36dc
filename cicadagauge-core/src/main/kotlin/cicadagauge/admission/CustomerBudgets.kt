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
    private var stopping = false
    private var portions: Map<CustomerName, Portion> = emptyMap()
    private var customers: List<Customer> = emptyList()

    /** Receives the decision about a request: exactly one call of [admitted] or [refused], at once or later. */
    interface AdmissionListener {
        fun admitted(now: Moment)

        fun refused(retryAfter: Duration, now: Moment)
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
        removed.forEach { name -> accounts.remove(name)?.refuseAll(now) }
        coordinators.keys.retainAll(portions.keys)
        for ((name, portion) in portions) {
            coordinators[name]?.updatePortion(portion, now)
            accounts.getOrPut(name) { Account(name, portion) }.budget.updatePortion(portion, now)
        }
        requestDueTokens(now)
    }

    /** Admits or refuses one request of [customer], or queues it until the coordinator replies. */
    fun admit(customer: CustomerName, listener: AdmissionListener, now: Moment) {
        val account = accounts.getValue(customer)
        account.budget.recordArrival()
        if (account.waiting.isEmpty() && account.budget.tryTake(now)) return listener.admitted(now)
        val canWait = account.budget.canWait(now) && account.waiting.size < settings.maxWaitingPerCustomer
        if (!canWait) return listener.refused(account.budget.retryAfter(), now)
        account.waiting.addLast(listener)
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
        return PeerMessage.BudgetReply(request.customer, request.sequence, now, tokens, released = request.leave)
    }

    /** Handles a coordinator's reply and decides about the requests that waited for it. */
    fun handleReply(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        val account = accounts[reply.customer] ?: return
        account.budget.handleReply(from, reply, now)
        account.admitWaiting(now)
        // Requests that arrived after tokens were requested are not covered by this reply.
        val asksAgain = account.waiting.isNotEmpty() && (account.budget.canStartWaiver(now) || !account.budget.isShort)
        if (asksAgain) requestTokens(account, now) else account.refuseAll(now)
    }

    /** Requests tokens for every customer for which a request is due. */
    fun requestDueTokens(now: Moment) {
        for (account in accounts.values) requestTokens(account, now)
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
        requestDueTokens(now)
        timers.at(now + settings.requestInterval / 2, ::start)
    }

    private fun requestTokens(account: Account, now: Moment) {
        if (!account.budget.isRequestDue(account.waiting.size, now)) return
        val coordinator = coordinatorFor(account) ?: return
        val leave = coordinator != vms.responsibleFor(account.duty)
        val request = account.budget.nextRequest(coordinator.id, account.waiting.size, leave, now)
        if (coordinator.id == vms.self) {
            answerRequest(vms.self, request, now)?.let { handleReply(vms.self, it, now) }
        } else {
            vms.send(coordinator, request)
            timers.at(account.budget.answerDue()) { account.expire(coordinator.id, it) }
        }
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
        val budget = CustomerBudget(customer, portion, settings, seats::usableFrom, start)
        val waiting = ArrayDeque<AdmissionListener>()
        val duty = "budget/$customer"

        /** Admits as many waiting requests as there are tokens for. */
        fun admitWaiting(now: Moment) {
            while (waiting.isNotEmpty() && budget.tryTake(now)) waiting.removeFirst().admitted(now)
        }

        /** If the reply of [coordinator] is overdue, suspects that VM and refuses the requests that find no token. */
        fun expire(coordinator: VmId, now: Moment) {
            if (!budget.isOverdue(now)) return
            vms.suspect(coordinator, until = now + settings.coordinatorSuspicion)
            admitWaiting(now)
            refuseAll(now)
        }

        fun refuseAll(now: Moment) {
            while (waiting.isNotEmpty()) waiting.removeFirst().refused(budget.retryAfter(), now)
        }
    }
}
