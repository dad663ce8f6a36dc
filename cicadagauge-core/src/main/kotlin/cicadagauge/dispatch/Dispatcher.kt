/*
 * Takes a request from admission to its final answer: obtains a permit for an upstream from the home VM, sends the
 * request there, and retries only if that is safe. A permit allows one request to run at one upstream.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.UpstreamReachability
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.Event
import cicadagauge.node.HomePolicy
import cicadagauge.node.RelayedRequest
import cicadagauge.node.RequestHead
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.peer.PeerMessage
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestDigests
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import kotlin.time.Duration

/** Dispatches the requests that this VM has accepted, and schedules those whose home it is. */
internal class Dispatcher(
    private val vms: VmDirectory,
    private val owners: OwnerDirectory,
    private val settings: DispatchSettings,
    private val quarantine: RequestQuarantine,
    private val crashDetector: CrashDetector,
    private val reachability: UpstreamReachability,
    private val timers: Timers,
    private val effects: Effects,
    coldUntil: (UpstreamId) -> Moment,
) : ReservationListener {
    private val requests = HashMap<RequestId, PendingRequest>()
    private val waiting = LinkedHashSet<PendingRequest>()
    private val schedulers = HomeSchedulers(vms, owners, settings, this, coldUntil)
    private val permits = PermitReturner(vms, schedulers)
    private val upstreams = HashMap<UpstreamId, Upstream>()
    private val pools = HashMap<PoolName, Pool>()
    private val retryBudgets = RetryBudgets(settings) { vms.all.size }
    private val permitReporter = PermitReporter(vms, settings)
    private val homeMonitor = HomeMonitor(vms, settings)
    private val zoneNews = ZoneNews(settings)

    /** Determines the home VM of each request. */
    val homeDirectory: HomeDirectory = HomeDirectory(vms, owners, settings)
    private var isSweepScheduled = false

    /** Whether the process ends soon, so that nothing more is sent to an upstream. */
    private var isEnding = false

    /** The number of requests that are accepted and not yet answered. */
    val pending: Int get() = requests.size

    /**
     * Reports to the home VMs which of their permits are in use, now and every [DispatchSettings.permitReportInterval].
     */
    fun start(now: Moment) {
        permitReporter.report(requests.values, now)
        timers.at(now + settings.permitReportInterval, ::start)
    }

    /** Checks the home VMs that requests are relayed to, now and every [DispatchSettings.homePingInterval]. */
    fun monitorHomes(now: Moment) {
        homeMonitor.checkHomes(now)
        timers.at(now + settings.homePingInterval, ::monitorHomes)
    }

    /** The schedulers of the upstreams whose home is this VM. */
    val homeSchedulers: HomeSchedulers get() = schedulers

    /** Applies the pools of [declaration]. */
    fun configure(declaration: Declaration, now: Moment) {
        upstreams.clear()
        pools.clear()
        declaration.pools.associateByTo(pools) { it.name }
        declaration.pools.flatMap { it.upstreams }.associateByTo(upstreams) { it.id }
        homeDirectory.configure(declaration)
        schedulers.configure(declaration, now)
    }

    /** Dispatches [request], which has been admitted. */
    fun accept(request: PendingRequest, now: Moment) {
        if (!request.isRelayedHere) retryBudgetOf(request).recordAdmitted()
        requests[request.id] = request
        zoneNews.advise(request, now)?.let { report(request, it) }
        val needsBody = quarantine.needsBody(request.customer, request.head) ||
            crashDetector.isChecking(request.customer, request.head)
        if (!needsBody) return reserve(request, now)
        await(request, PendingRequest.State.AwaitingBody, now)
        effects.add(Effect.AwaitBody(request.id))
    }

    private fun report(request: PendingRequest, advice: ZoneAdvice) {
        val change = StateChange.ZonesSkipped(
            pool = request.pool.name,
            zone = advice.zone,
            expectedWaits = advice.waits,
            newsAge = advice.oldest,
        )
        effects.add(Effect.StateChanged(change))
    }

    /** Continues request [id], whose body was awaited and has the digest [body]. */
    fun bodyRead(id: RequestId, body: BodyDigest, now: Moment) {
        val request = requests[id]?.takeIf { it.state == PendingRequest.State.AwaitingBody } ?: return
        request.body = body
        reserve(request, now)
    }

    /** Dispatches a request that another VM has admitted and relayed here. */
    fun acceptRelayed(id: RequestId, relayed: RelayedRequest, head: RequestHead, timeLeft: Duration, now: Moment) {
        val pool = pools[relayed.pool] ?: return effects.add(Effect.Refuse(id, HomeSchedulers.NO_POOL))
        val request = PendingRequest(
            id = id,
            pool = pool,
            requestClass = relayed.requestClass,
            idempotent = relayed.idempotent,
            customer = relayed.customer,
            slot = relayed.slot?.takeIf { it.index < pool.slots },
            deadline = now + timeLeft - settings.relayMargin,
            inTimeBy = relayed.targetLeft?.let { now + it },
            isRelayedHere = true,
            maxRuns = relayed.maxRuns,
            head = RequestDigests.of(head),
            zoneSelector = ZoneSelector(listOfNotNull(relayed.zone), isFinal = !relayed.maySpill),
        )
        accept(request, now)
    }

    /** Handles the end of an attempt. Ignored if the request is no longer pending. */
    fun attemptEnded(event: Event.AttemptEnded, now: Moment) {
        val request = requests[event.id] ?: return
        if (event.body != null) request.body = event.body
        request.isBodyRetained = event.isBodyRetained
        when (val state = request.state) {
            is PendingRequest.State.Running -> upstreamAttemptEnded(request, state, event.outcome, now)
            is PendingRequest.State.Relayed -> relayedAttemptEnded(request, state, event.outcome, now)
            else -> Unit
        }
    }

    private fun relayedAttemptEnded(
        request: PendingRequest,
        state: PendingRequest.State.Relayed,
        outcome: AttemptOutcome,
        now: Moment,
    ) {
        request.state = PendingRequest.State.Idle
        homeMonitor.recordRelayEnd(state.home, now)
        when (outcome) {
            is AttemptOutcome.Answered -> {
                vms.recordContact(state.home, now)
                requests -= request.id
            }
            is AttemptOutcome.Truncated, is AttemptOutcome.CallerGone -> requests -= request.id
            is AttemptOutcome.Refused -> {
                vms.recordContact(state.home, now)
                if (outcome.refusal.reason == Reason.CutOff) vms.markCutOff(state.home, now + settings.homeSuspicion)
                if (outcome.refusal.reason == Reason.ShuttingDown) vms.markLeaving(state.home)
                refusedByHome(request, outcome.refusal, now)
            }
            is AttemptOutcome.NotRun -> {
                if (outcome.cause == NotRunCause.Unreachable) vms.suspect(state.home, now + settings.homeSuspicion)
                notRun(request, outcome, now)
            }
            is AttemptOutcome.Lost -> lost(request, outcome, now)
        }
    }

    private fun upstreamAttemptEnded(
        request: PendingRequest,
        state: PendingRequest.State.Running,
        outcome: AttemptOutcome,
        now: Moment,
    ) {
        request.state = PendingRequest.State.Idle
        reachability.attemptEnded(state.upstream, state.since, outcome, now)
        val slowness = (outcome as? AttemptOutcome.Answered)?.slowness
        val result = PermitResults.of(outcome)
        val message = PeerMessage.Release(request.pool.name, request.id, result, now - state.since, slowness)
        permits.release(state.home, message, now)
        when (outcome) {
            is AttemptOutcome.Answered -> {
                request.fingerprint?.let { quarantine.answered(it, now) }
                requests -= request.id
            }
            is AttemptOutcome.Truncated, is AttemptOutcome.CallerGone -> requests -= request.id
            is AttemptOutcome.Refused -> refuse(request, outcome.refusal, now)
            is AttemptOutcome.NotRun -> notRun(request, outcome, now)
            is AttemptOutcome.Lost -> {
                val broken = upstreams[state.upstream]?.takeUnless { outcome.timedOut }
                broken?.let { crashDetector.connectionBroke(it, request.fingerprint, request.crashRecord) }
                lost(request, outcome, now)
            }
        }
    }

    /** Drops request [id], whose caller disconnected while it was waiting. */
    fun callerLeft(id: RequestId, now: Moment) {
        val request = requests.remove(id) ?: return
        waiting -= request
        (request.state as? PendingRequest.State.Relayed)?.let { homeMonitor.recordRelayEnd(it.home, now) }
        withdraw(request, now)
    }

    override fun reserved(from: VmId, message: PeerMessage.Reserved, now: Moment) {
        val request = requests[message.id]
        val state = request?.state
        val duplicate =
            state is PendingRequest.State.Running && state.home == from && state.upstream == message.upstream
        if (duplicate) return
        if (request == null || state !is PendingRequest.State.Reserving || state.home != from) {
            return permits.releaseUnused(message.pool, message.id, from, now)
        }
        if (isEnding) return refuse(request, DispatchRefusals.SHUTTING_DOWN, now)
        forward(request, from, message.upstream, now)
    }

    override fun denied(from: VmId, message: PeerMessage.Denied, now: Moment) {
        val request = requests[message.id] ?: return
        val state = request.state as? PendingRequest.State.Reserving ?: return
        if (state.home == from) refusedByHome(request, message.refusal, now)
    }

    /**
     * Tries another zone if the home refused the request for lack of capacity in this one; otherwise refuses the
     * request. The retry-after time of the refusal is the expected wait in this zone. If an upstream of this zone has
     * rejected the request, trying another one is a retry.
     */
    private fun refusedByHome(request: PendingRequest, refusal: Refusal, now: Moment) {
        if (refusal.reason == Reason.CutOff || refusal.reason == Reason.ShuttingDown) {
            return backOff(request, DispatchRefusals.of(NotRunCause.Unreachable), now)
        }
        val wasRejected = refusal.reason == Reason.UpstreamBusy
        if (wasRejected) request.hasReachedUpstream = true
        if (refusal.reason == Reason.Overloaded) refusal.retryAfter?.let { zoneNews.refused(request, it, now) }
        val isFull = wasRejected || refusal.reason == Reason.Overloaded || refusal.reason == Reason.NoUpstream
        val mayTryNext = isFull &&
            request.isBodyRetained &&
            request.zoneSelector.maySpill &&
            (!wasRejected || retryBudgetOf(request).tryTake())
        val triesNext = mayTryNext && request.zoneSelector.tryNext(refusal.retryAfter ?: Duration.INFINITE)
        if (triesNext) reserve(request, now) else refuse(request, refusal, now)
    }

    /** Retries the requests of [pool] that are backing off at once, because its owners have changed. */
    fun ownersChanged(pool: PoolName, now: Moment) {
        schedulers.ownersChanged(pool, now)
        waiting.filter { it.pool.name == pool && it.state is PendingRequest.State.BackingOff }
            .forEach { reserve(it, now) }
    }

    /** Passes the requests that wait for a permit of this VM to other VMs, if only those reach upstreams. */
    fun reachabilityChanged(now: Moment) {
        if (!vms.isBypassed()) return
        val waitingHere = waiting.filter { (it.state as? PendingRequest.State.Reserving)?.home == vms.self }
        for (request in waitingHere) {
            withdraw(request, now)
            reserve(request, now)
        }
    }

    /** Refuses the requests that wait, and from now on each one that would be sent, because the process ends soon. */
    fun refuseWaiting(now: Moment) {
        isEnding = true
        for (request in waiting.toList()) if (request in waiting) refuse(request, DispatchRefusals.SHUTTING_DOWN, now)
    }

    private fun reserve(request: PendingRequest, now: Moment) {
        if (isEnding) return refuse(request, DispatchRefusals.SHUTTING_DOWN, now)
        if (request.isRelayedHere && vms.isBypassed()) return refuse(request, DispatchRefusals.CUT_OFF, now)
        val quarantined = quarantine.quarantineOf(request.fingerprint, now)
        if (quarantined != null) return refuse(request, DispatchRefusals.quarantined(quarantined), now)
        if (crashDetector.isChecking(request.fingerprint)) {
            return await(request, PendingRequest.State.AwaitingCrashCheck, now)
        }
        val home = homeDirectory.homeOf(request)
        val homeVm = vms.vm(home)
        if (settings.homes == HomePolicy.Relay && home != vms.self && homeVm != null) {
            return relay(request, homeVm, now)
        }
        await(request, PendingRequest.State.Reserving(home, answerDue = now + settings.homeAnswerTimeout), now)
        val message = PeerMessage.Reserve(
            pool = request.pool.name,
            id = request.id,
            slot = request.slot,
            requestClass = request.requestClass,
            customer = request.customer,
            timeLeft = request.deadline - now,
            targetLeft = request.inTimeBy?.let { it - now },
            zone = request.zoneSelector.zone,
            maySpill = request.zoneSelector.maySpill,
        )
        if (home == vms.self || homeVm == null) {
            schedulers.reserve(vms.self, message, now)
        } else {
            vms.send(homeVm, message)
        }
    }

    /** Lets [request] wait in [state], which is checked at each sweep. */
    private fun await(request: PendingRequest, state: PendingRequest.State, now: Moment) {
        request.state = state
        waiting += request
        scheduleSweep(now)
    }

    private fun relay(request: PendingRequest, home: Vm, now: Moment) {
        if (now >= request.deadline) return refuse(request, DispatchRefusals.DEADLINE_BEFORE_RUN, now)
        waiting -= request
        request.attempts++
        request.state = PendingRequest.State.Relayed(home.id)
        homeMonitor.recordRelay(home.id, now)
        val relayed = RelayedRequest(
            pool = request.pool.name,
            slot = request.slot,
            requestClass = request.requestClass,
            customer = request.customer,
            idempotent = request.idempotent,
            maxRuns = request.maxRuns - request.runs,
            zone = request.zoneSelector.zone,
            maySpill = request.zoneSelector.maySpill,
            targetLeft = request.inTimeBy?.let { it - now },
        )
        // Wait past the deadline: the home answers before it, and only the home knows whether the request has run.
        val giveUpAt = request.deadline + settings.relayMargin
        effects.add(
            Effect.Relay(
                id = request.id,
                home = home.id,
                address = home.callers,
                request = relayed,
                deadline = request.deadline,
                giveUpAt = giveUpAt,
                isRepeat = request.hasReachedUpstream,
            ),
        )
    }

    private fun forward(request: PendingRequest, home: VmId, upstream: UpstreamId, now: Moment) {
        val target = upstreams[upstream]
        if (target == null || now >= request.deadline) {
            permits.releaseUnused(request.pool.name, request.id, home, now)
            return backOff(request, DispatchRefusals.UPSTREAM_NOT_DECLARED, now)
        }
        waiting -= request
        request.attempts++
        request.state = PendingRequest.State.Running(home, upstream, now)
        request.crashRecord = quarantine.recordOf(request.fingerprint, now)
        permitReporter.recordGrant(home, request.pool.name, now)
        reachability.requestSent(upstream, now)
        if (!request.wasSent) retryBudgetOf(request).recordSent()
        request.wasSent = true
        val version = request.slot?.let { owners[request.pool.name]?.record?.version }
        effects.add(
            Effect.Forward(
                id = request.id,
                upstream = upstream,
                address = target.address,
                connections = request.pool.connections,
                slot = request.slot,
                version = version,
                deadline = request.deadline,
                customer = request.customer.takeIf { it != PendingRequest.NO_CUSTOMER },
                pool = request.pool.name,
                isRepeat = request.hasReachedUpstream,
            ),
        )
    }

    private fun notRun(request: PendingRequest, outcome: AttemptOutcome.NotRun, now: Moment) {
        val refusal = DispatchRefusals.of(outcome.cause)
        val reachedUpstream = outcome.cause != NotRunCause.Unreachable
        if (reachedUpstream) request.hasReachedUpstream = true
        val mayRepeat = request.isBodyRetained && (!reachedUpstream || retryBudgetOf(request).tryTake())
        if (mayRepeat) backOff(request, refusal, now) else refuse(request, refusal, now)
    }

    private fun retryBudgetOf(request: PendingRequest): RetryBudget = retryBudgets.of(request.pool.name)

    private fun lost(request: PendingRequest, outcome: AttemptOutcome.Lost, now: Moment) {
        val timedOut = outcome.timedOut || now >= request.deadline
        if (timedOut) return refuse(request, DispatchRefusals.DEADLINE_DURING_RUN, now)
        request.runs++
        request.hasReachedUpstream = true
        val mayRunAgain = request.idempotent && request.isBodyRetained && request.runs < request.maxRuns
        if (mayRunAgain && retryBudgetOf(request).tryTake()) {
            return backOff(request, DispatchRefusals.CONNECTION_BROKEN, now)
        }
        refuse(request, DispatchRefusals.CONNECTION_BROKEN, now)
    }

    /**
     * Waits before the next attempt. If no further attempt is allowed, none would start before the deadline, or a part
     * of the body is no longer retained, refuses the request with [finalRefusal].
     */
    private fun backOff(request: PendingRequest, finalRefusal: Refusal, now: Moment) {
        val exponent = minOf(maxOf(0, request.attempts - 1), MAX_DOUBLINGS)
        val pause = minOf(settings.backoff * (1 shl exponent), settings.maxBackoff)
        val mayRepeat = request.isBodyRetained && request.attempts < settings.maxAttempts
        if (!mayRepeat || now + pause >= request.deadline) {
            return refuse(request, finalRefusal, now)
        }
        await(request, PendingRequest.State.BackingOff(now + pause), now)
    }

    private fun refuse(request: PendingRequest, refusal: Refusal, now: Moment) {
        requests -= request.id
        waiting -= request
        withdraw(request, now)
        effects.add(Effect.Refuse(request.id, DispatchRefusals.corrected(refusal, request)))
    }

    /** Cancels the reservation of [request] if it is still unanswered. */
    private fun withdraw(request: PendingRequest, now: Moment) {
        val home = (request.state as? PendingRequest.State.Reserving)?.home ?: return
        permits.releaseUnused(request.pool.name, request.id, home, now)
    }

    /** Schedules the next check for overdue requests, unless one is scheduled already. */
    fun scheduleSweep(now: Moment) {
        if (isSweepScheduled) return
        isSweepScheduled = true
        timers.at(now + settings.sweepInterval, ::sweep)
    }

    private fun sweep(now: Moment) {
        isSweepScheduled = false
        schedulers.sweep(now)
        for (request in waiting.toList()) {
            when (val state = request.state) {
                is PendingRequest.State.Reserving -> checkReservation(request, state, now)
                PendingRequest.State.AwaitingBody, PendingRequest.State.AwaitingCrashCheck -> checkAwaited(request, now)
                is PendingRequest.State.BackingOff -> if (now >= state.until) reserve(request, now)
                else -> Unit
            }
        }
        if (waiting.isNotEmpty() || schedulers.isActive) scheduleSweep(now)
    }

    private fun checkAwaited(request: PendingRequest, now: Moment) {
        val isChecked =
            request.state == PendingRequest.State.AwaitingCrashCheck && !crashDetector.isChecking(request.fingerprint)
        if (now >= request.deadline) return refuse(request, DispatchRefusals.DEADLINE_BEFORE_RUN, now)
        if (isChecked) reserve(request, now)
    }

    private fun checkReservation(request: PendingRequest, state: PendingRequest.State.Reserving, now: Moment) {
        if (now >= request.deadline) return refuse(request, DispatchRefusals.DEADLINE_BEFORE_RUN, now)
        if (state.home == vms.self || now < state.answerDue) return
        val isSilent = vms.lastHeard(state.home) < now - settings.homeAnswerTimeout
        if (isSilent) vms.suspect(state.home, now + settings.homeSuspicion)
        reserve(request, now)
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
