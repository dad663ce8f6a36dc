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

/** Admits requests within their customers' rate limits. The decision about a request is reported to its [Waiter]. */
internal class CustomerBudgets(
    private val vms: VmDirectory,
    private val seats: SeatHolder,
    private val settings: BudgetSettings,
    private val timers: Timers,
    private val start: Moment,
) {
    private val accounts = HashMap<CustomerName, Account>()
    private val keepers = HashMap<CustomerName, BudgetKeeper>()
    private var stopping = false
    private var portions: Map<CustomerName, Portion> = emptyMap()
    private var customers: List<Customer> = emptyList()

    /** Receives the decision about a request: exactly one call of [admitted] or [refused], at once or later. */
    interface Waiter {
        fun admitted(now: Moment)

        fun refused(retryAfter: Duration, now: Moment)
    }

    /** Applies the customers of [declaration]; waiting requests of customers no longer limited are refused. */
    fun configure(declaration: Declaration, now: Moment) {
        customers = declaration.customers.filter { it.isLimited }
        share(now)
    }

    /** Divides each customer's rate and burst by the current number of seats. */
    fun share(now: Moment) {
        portions = customers.associate { it.name to Portion.of(it, seats.count, settings.clockDrift) }
        val gone = accounts.keys - portions.keys
        gone.forEach { name -> accounts.remove(name)?.refuseAll(now) }
        keepers.keys.retainAll(portions.keys)
        for ((name, portion) in portions) {
            keepers[name]?.redefine(portion, now)
            accounts.getOrPut(name) { Account(name, portion) }.budget.redefine(portion, now)
        }
        refresh(now)
    }

    /** Admits or refuses one request of [customer], or queues it until the coordinator replies. */
    fun admit(customer: CustomerName, waiter: Waiter, now: Moment) {
        val account = accounts.getValue(customer)
        account.budget.count()
        if (account.waiting.isEmpty() && account.budget.take(now)) return waiter.admitted(now)
        val mayWait = account.budget.mayWait(now) && account.waiting.size < settings.maxWaiting
        if (!mayWait) return waiter.refused(account.budget.retryAfter(), now)
        account.waiting.addLast(waiter)
        ask(account, now)
    }

    /** Answers a request for tokens as the coordinator, from another VM or this one; null where no reply is due. */
    fun keep(from: VmId, request: PeerMessage.BudgetRequest, now: Moment): PeerMessage.BudgetReply? {
        val portion = portions[request.customer] ?: return null
        if (stopping) {
            return PeerMessage.BudgetReply(
                request.customer,
                request.sequence,
                now,
                tokens = 0,
                released = true,
            )
        }
        val keeper = keepers.getOrPut(request.customer) { BudgetKeeper(portion, settings, now) }
        val tokens = keeper.request(from, request, now) ?: return null
        return PeerMessage.BudgetReply(request.customer, request.sequence, now, tokens, released = request.leave)
    }

    /** Handles a coordinator's reply and decides about the requests that waited for it. */
    fun replied(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        val account = accounts[reply.customer] ?: return
        account.budget.reply(from, reply, now)
        account.admitWaiting(now)
        // Requests that arrived after tokens were requested are not covered by this reply.
        val goesOn = account.waiting.isNotEmpty() && (account.budget.isJoining(now) || !account.budget.isShort)
        if (goesOn) ask(account, now) else account.refuseAll(now)
    }

    /** Requests tokens for every customer for which a request is due. */
    fun refresh(now: Moment) {
        for (account in accounts.values) ask(account, now)
    }

    /** Drops borrowed tokens and the waivers made to this VM, since its clock may have stopped meanwhile. */
    fun suspended(now: Moment) {
        accounts.values.forEach { it.budget.dropLoans() }
        keepers.values.forEach { it.dropWaivers(now) }
    }

    /** [vm] no longer coordinates budgets: the portions that were waived to it may be used here again. */
    fun keeperLeft(vm: VmId, now: Moment) {
        accounts.values.forEach { it.budget.released(vm, now) }
        refresh(now)
    }

    /** Stops lending: every waiver to this VM is given up, and each VM is told so in reply to its next request. */
    fun stop() {
        stopping = true
        keepers.clear()
    }

    /** Starts the periodic check for due requests. */
    fun start(now: Moment) {
        refresh(now)
        timers.at(now + settings.refresh / 2, ::start)
    }

    private fun ask(account: Account, now: Moment) {
        if (!account.budget.wantsRequest(account.waiting.size, now)) return
        val keeper = keeperFor(account) ?: return
        val leave = keeper != vms.responsible(account.duty)
        val request = account.budget.request(keeper.id, account.waiting.size, leave, now)
        if (keeper.id == vms.self) {
            keep(vms.self, request, now)?.let { replied(vms.self, it, now) }
        } else {
            vms.send(keeper, request)
            timers.at(account.budget.answerDue()) { account.expire(keeper.id, it) }
        }
    }

    /**
     * The VM to send the next request to: the responsible one, or a former coordinator that is reachable and still has
     * the portion, to end the waiver there.
     */
    private fun keeperFor(account: Account): Vm? {
        val responsible = vms.responsible(account.duty)
        val former = account.budget.waivedTo?.takeIf { it != responsible?.id } ?: return responsible
        return vms.vm(former)?.takeUnless { vms.isDoubtful(former) } ?: responsible
    }

    private inner class Account(val customer: CustomerName, portion: Portion) {
        val budget = CustomerBudget(customer, portion, settings, seats::usableFrom, start)
        val waiting = ArrayDeque<Waiter>()
        val duty = "budget/$customer"

        /** Admits as many waiting requests as there are tokens for. */
        fun admitWaiting(now: Moment) {
            while (waiting.isNotEmpty() && budget.take(now)) waiting.removeFirst().admitted(now)
        }

        /** If the reply of [keeper] is overdue, suspects that VM and refuses the requests that find no token. */
        fun expire(keeper: VmId, now: Moment) {
            if (!budget.isOverdue(now)) return
            vms.suspect(keeper, until = now + settings.suspicion)
            admitWaiting(now)
            refuseAll(now)
        }

        fun refuseAll(now: Moment) {
            while (waiting.isNotEmpty()) waiting.removeFirst().refused(budget.retryAfter(), now)
        }
    }
}
