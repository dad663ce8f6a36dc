/*
 * The first steps of a request: its route, customer, key and deadline are determined, and the customer's rate limit is
 * applied. Everything that can be refused here is refused before any upstream sees it.
 */
package cicadagauge.admission

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Route
import cicadagauge.dispatch.Dispatcher
import cicadagauge.dispatch.PendingRequest
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.RequestHead
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.quarantine.RequestDigests
import cicadagauge.routing.OwnerDirectory
import cicadagauge.routing.RouteMatch
import cicadagauge.routing.RouteTable
import kotlin.time.Duration

/** Validates callers' requests against the declaration in force and applies the customers' rate limits. */
internal class RequestAdmission(
    private val owners: OwnerDirectory,
    private val budgets: CustomerBudgets,
    private val dispatcher: Dispatcher,
    private val effects: Effects,
) {
    private var routes: RouteTable? = null
    private var authenticator: Authenticator? = null
    private var requiresCustomerKey = true

    /** Applies the routes and customers of [declaration]. */
    fun configure(declaration: Declaration) {
        routes = RouteTable(declaration)
        authenticator = Authenticator(declaration)
        requiresCustomerKey = declaration.requiresCustomerKey
    }

    /** Handles a newly arrived request: refuses it, or passes it to the dispatcher now or later. */
    fun arrived(id: RequestId, head: RequestHead, now: Moment) {
        val table = routes ?: return refuse(id, Reason.NoConfiguration, "no declaration is in force yet")
        when (val match = table.match(head.method, head.path, head.host)) {
            is RouteMatch.Found -> routeFound(id, head, match, now)
            is RouteMatch.WrongMethod ->
                refuse(id, Reason.MethodNotAllowed, "allowed: ${match.allowed.sorted().joinToString()}")
            RouteMatch.NoRoute -> refuse(id, Reason.NoRoute, "no route has this path")
            RouteMatch.BadPath -> refuse(id, Reason.BadRequest, "the path has empty, '.' or '..' segments")
        }
    }

    private fun routeFound(id: RequestId, head: RequestHead, match: RouteMatch.Found, now: Moment) {
        val route = match.route
        val isOpen = route.open || !requiresCustomerKey
        val customer = if (isOpen) null else customerOf(head)
        val requestClass = customer?.requestClass ?: route.requestClass
        effects.add(Effect.Classify(id, customer?.name, requestClass))
        val key = match.extractor?.extract(head)
        val slot = key?.let { slotOf(match.pool, it) }
        val limit = head.deadline ?: route.deadline
        val refusal = refusalFor(match, isOpen || customer != null, key, slot, limit)
        if (refusal != null) return effects.add(Effect.Refuse(id, refusal))
        if (head.readLag >= limit) return refuse(id, Reason.DeadlineBeforeRun, "the process could not read it in time")
        val request = PendingRequest(
            id = id,
            pool = match.pool,
            requestClass = requestClass,
            idempotent = route.idempotent,
            customer = customer?.name ?: PendingRequest.NO_CUSTOMER,
            slot = slot.takeIf { match.pool.keyed },
            deadline = now + minOf(limit, route.deadline) - head.readLag,
            inTimeBy = route.inTimeBy(limit, now - head.readLag),
            maxRuns = route.maxAttempts,
            head = RequestDigests.of(head),
            zoneSelector = dispatcher.homeDirectory.zoneSelectorFor(match.pool),
        )
        if (customer == null || !customer.isLimited) return dispatcher.accept(request, now)
        budgets.admit(customer.name, request.deadline, Decision(request), now)
    }

    private fun refusalFor(
        match: RouteMatch.Found,
        isAllowed: Boolean,
        key: String?,
        slot: Slot?,
        limit: Duration,
    ): Refusal? = when {
        !isAllowed -> Refusal(Reason.Unauthenticated, "a valid key is needed")
        match.extractor != null && key == null -> Refusal(Reason.MissingKey, "the route's key is missing")
        limit <= Duration.ZERO ->
            Refusal(Reason.BadDeadline, "the deadline must be a positive number of milliseconds")
        key != null && !isSlotNumber(match.pool, key) ->
            Refusal(Reason.BadKey, "the routing key must be a number below ${match.pool.slots}")
        match.pool.keyed && slot == null -> Refusal(Reason.OwnerUnavailable, "no owner is known yet")
        else -> null
    }

    private fun customerOf(head: RequestHead): Customer? {
        val key = head.customerKey ?: return null
        return authenticator?.customerOf(key)
    }

    private fun slotOf(pool: Pool, key: String): Slot? {
        val table = owners[pool.name] ?: return null
        return if (pool.placement == Placement.Ranges) key.toIntOrNull()?.let(::Slot) else table.slotOf(key)
    }

    private fun isSlotNumber(pool: Pool, key: String): Boolean =
        pool.placement != Placement.Ranges || key.toIntOrNull() in 0 until pool.slots

    private fun refuse(id: RequestId, reason: Reason, detail: String) {
        effects.add(Effect.Refuse(id, Refusal(reason, detail)))
    }

    private inner class Decision(private val request: PendingRequest) : CustomerBudgets.AdmissionListener {
        override fun admitted(now: Moment): Unit = dispatcher.accept(request, now)

        override fun refused(shortage: Shortage, retryAfter: Duration, now: Moment) {
            val refusal = Refusal(Reason.RateExceeded, shortage.detail, retryAfter)
            effects.add(Effect.Refuse(request.id, refusal))
        }
    }
}

/**
 * Until when an answer to a request that arrived at [arrival] is in time, or null if any answer before the deadline is.
 * A caller who comes back after a refusal sends the time that it has left, so what [limit] is below the route's
 * deadline counts as time that the caller has waited already.
 */
internal fun Route.inTimeBy(limit: Duration, arrival: Moment): Moment? {
    val waited = maxOf(Duration.ZERO, deadline - limit)
    return targetLatency?.let { arrival + it - waited }
}
