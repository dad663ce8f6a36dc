/*
 * All customers' budgets on one VM, in both roles: the VM's own side of each, and the keeper's side of those that
 * this VM keeps. Keepers are chosen by rendezvous hashing over the live VMs; a disagreement costs refusals only.
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

/** Admits requests by customer. A request that must wait for the keeper is decided through its [Waiter]. */
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

    /** Decides about a request. [admitted] and [refused] are called now or later, exactly one of them once. */
    interface Waiter {
        fun admitted(now: Moment)

        fun refused(retryAfter: Duration, now: Moment)
    }

    /** Takes the customers of [declaration] over; a customer that is gone is forgotten. */
    fun configure(declaration: Declaration, now: Moment) {
        customers = declaration.customers.filter { it.isLimited }
        share(now)
    }

    /** Shares the customers' rates out between the seats that there are now. */
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

    /** Admits one request of [customer], makes it wait, or refuses it. */
    fun admit(customer: CustomerName, waiter: Waiter, now: Moment) {
        val account = accounts.getValue(customer)
        account.budget.count()
        if (account.waiting.isEmpty() && account.budget.take(now)) return waiter.admitted(now)
        val mayWait = account.budget.mayWait(now) && account.waiting.size < settings.maxWaiting
        if (!mayWait) return waiter.refused(account.budget.retryAfter(), now)
        account.waiting.addLast(waiter)
        ask(account, now)
    }

    /** Answers another VM's, or this VM's own, request for tokens. */
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

    /** Takes a keeper's reply and decides about the requests that waited for it. */
    fun replied(from: VmId, reply: PeerMessage.BudgetReply, now: Moment) {
        val account = accounts[reply.customer] ?: return
        account.budget.reply(from, reply, now)
        account.admitWaiting(now)
        // Requests that came after the keeper was asked are asked for in their turn.
        val goesOn = account.waiting.isNotEmpty() && (account.budget.isJoining(now) || !account.budget.isShort)
        if (goesOn) ask(account, now) else account.refuseAll(now)
    }

    /** Asks every keeper that is due, and asks again after the refresh time. */
    fun refresh(now: Moment) {
        for (account in accounts.values) ask(account, now)
    }

    /** Gives up what was lent to this VM and waived to it for a time. */
    fun suspended(now: Moment) {
        accounts.values.forEach { it.budget.dropLoans() }
        keepers.values.forEach { it.dropWaivers(now) }
    }

    /** [vm] has stopped to keep budgets: what was waived to it is this VM's own again. */
    fun keeperLeft(vm: VmId, now: Moment) {
        accounts.values.forEach { it.budget.released(vm, now) }
        refresh(now)
    }

    /** Lends nothing more: every waiver to this VM is given up, and each VM learns it with its next request. */
    fun stop() {
        stopping = true
        keepers.clear()
    }

    /** Starts the periodic refresh. */
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

    /** The responsible VM; where the portion is still waived to another one that answers, that one, to leave it. */
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

        /** Gives up waiting for an answer that is overdue. */
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
