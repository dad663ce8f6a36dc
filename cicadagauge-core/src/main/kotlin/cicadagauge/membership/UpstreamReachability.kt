/*
 * Decides whether this VM reaches any upstream. A VM that reaches none leaves the work at upstreams to the other VMs,
 * which may reach them all the same. See docs/design/reachability.md.
 */
package cicadagauge.membership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.peer.PeerMessage

/** Finds out whether any upstream can be reached from this VM at present. */
internal fun interface ReachabilityCheck {
    /** Opens connections until one is accepted or enough have failed, and passes the result to [onChecked]. */
    fun check(now: Moment, onChecked: (reachesUpstreams: Boolean, now: Moment) -> Unit)
}

/**
 * Whether this VM reaches any upstream, and the announcements of that between the VMs. [onChange] is called after the
 * set of VMs without upstreams has changed, with whether it is this VM that has lost or regained them.
 *
 * Attempts that fail one after the other are evidence of a cut, but the upstreams themselves may be at fault. So new
 * connections are tried, first to another upstream, then to some of as many availability zones and pools as possible. A
 * single accepted connection proves that there is no cut.
 */
internal class UpstreamReachability(
    private val vms: VmDirectory,
    private val settings: ReachabilitySettings,
    private val timers: Timers,
    private val effects: Effects,
    private val onChange: (isOwn: Boolean, now: Moment) -> Unit,
) : ReachabilityCheck {
    private val selector = ProbeSelector(vms.self)
    private val silence = UpstreamSilence(settings)
    private val failures = HashMap<UpstreamId, Moment>()
    private val pending = HashSet<UpstreamId>()
    private val probed = HashSet<UpstreamId>()
    private val waiting = ArrayList<(Boolean, Moment) -> Unit>()
    private val lastSequences = HashMap<VmId, Long>()
    private var isChecking = false
    private var remainingRounds = 0
    private var nextCheckAt = Moment.PAST
    private var acceptedInSuccession = 0
    private var sequence = 0L
    private var isSilenceCheckScheduled = false

    /** Whether this VM reaches upstreams, as far as it knows. */
    var reachesUpstreams = true
        private set

    /** Whether failures of upstreams may be due to a cut of this VM. */
    val isInDoubt: Boolean get() = !reachesUpstreams || isChecking

    /** Applies the upstreams of [declaration] that are in service. */
    fun configure(declaration: Declaration) {
        selector.configure(declaration)
        failures.keys.retainAll { it in selector }
    }

    /** Notes that a request was sent to [upstream]. */
    fun requestSent(upstream: UpstreamId, now: Moment) {
        silence.requestSent(upstream, now)
        if (isSilenceCheckScheduled) return
        isSilenceCheckScheduled = true
        timers.at(now + settings.silenceCheckInterval, ::checkSilence)
    }

    /** Notes that an attempt at [upstream] that began at [since] has ended with [outcome]. */
    fun attemptEnded(upstream: UpstreamId, since: Moment, outcome: AttemptOutcome, now: Moment) {
        val isUnreachable = outcome is AttemptOutcome.NotRun && outcome.cause == NotRunCause.Unreachable
        val isAnswer = when (outcome) {
            is AttemptOutcome.Answered, is AttemptOutcome.Truncated -> true
            is AttemptOutcome.NotRun -> !isUnreachable
            is AttemptOutcome.Refused, is AttemptOutcome.Lost, is AttemptOutcome.CallerGone -> false
        }
        val isSilent = silence.attemptEnded(upstream, since, isAnswer, now)
        if (isUnreachable || (isSilent && outcome is AttemptOutcome.Lost)) failed(upstream, now)
    }

    /** Notes that [upstream] could not be reached or has not answered. */
    fun failed(upstream: UpstreamId, now: Moment) {
        if (upstream !in selector || !reachesUpstreams) return
        failures.values.removeIf { it + settings.evidenceLifetime <= now }
        val hasEvidence = failures.isNotEmpty()
        failures[upstream] = now
        if (hasEvidence) startCheck(now)
    }

    /** Handles the result of [Effect.CheckUpstream], whoever has asked for it. */
    fun checked(upstream: UpstreamId, state: UpstreamState, now: Moment) {
        val isOwn = pending.remove(upstream)
        if (state == UpstreamState.Accepting) return connectionAccepted(now)
        acceptedInSuccession = 0
        if (!isOwn) return failed(upstream, now)
        failures[upstream] = now
        if (isChecking && pending.isEmpty()) nextRound(now)
    }

    override fun check(now: Moment, onChecked: (Boolean, Moment) -> Unit) {
        if (!reachesUpstreams) return onChecked(false, now)
        if (selector.size < MIN_UPSTREAMS) return onChecked(true, now)
        waiting += onChecked
        nextCheckAt = Moment.PAST
        startCheck(now)
    }

    /** Handles the announcement [message] of VM [from]. */
    fun announced(from: VmId, message: PeerMessage.UpstreamsReached, now: Moment) {
        lastSequences.keys.retainAll { vms.isListed(it) }
        if (message.sequence <= (lastSequences[from] ?: 0)) return
        lastSequences[from] = message.sequence
        if (message.reached) vms.endCutOff(from) else vms.markCutOff(from, now + settings.announcementLifetime)
        onChange(false, now)
    }

    private fun checkSilence(now: Moment) {
        isSilenceCheckScheduled = false
        if (!silence.hasRunning) return
        if (silence.isUniversal(now)) startCheck(now)
        isSilenceCheckScheduled = true
        timers.at(now + settings.silenceCheckInterval, ::checkSilence)
    }

    private fun startCheck(now: Moment) {
        if (isChecking || !reachesUpstreams || now < nextCheckAt || selector.size == 0) return
        isChecking = true
        remainingRounds = ROUND_SIZES.size
        probed.clear()
        nextRound(now)
    }

    private fun nextRound(now: Moment) {
        val size = ROUND_SIZES.getOrNull(ROUND_SIZES.size - remainingRounds--)
        val chosen = if (size == null) emptyList() else selector.select(size, probed, failures.keys)
        if (chosen.isEmpty()) return endCheck(isReached = false, now = now)
        probe(chosen)
    }

    private fun probe(upstreams: List<Upstream>) = upstreams.forEach { upstream ->
        probed += upstream.id
        pending += upstream.id
        effects.add(Effect.CheckUpstream(upstream.id, upstream.address))
    }

    private fun connectionAccepted(now: Moment) {
        if (isChecking) return endCheck(isReached = true, now = now)
        if (reachesUpstreams) return
        acceptedInSuccession++
        if (acceptedInSuccession >= ACCEPTED_TO_RECOVER) change(isReached = true, now = now)
    }

    private fun endCheck(isReached: Boolean, now: Moment) {
        isChecking = false
        pending.clear()
        nextCheckAt = now + settings.checkPause
        if (!isReached) change(isReached = false, now = now)
        val asked = waiting.toList()
        waiting.clear()
        asked.forEach { it(isReached, now) }
    }

    private fun change(isReached: Boolean, now: Moment) {
        reachesUpstreams = isReached
        effects.add(Effect.StateChanged(StateChange.UpstreamsReached(isReached)))
        if (isReached) vms.endCutOff(vms.self) else vms.markCutOff(vms.self, Moment.FUTURE)
        silence.reset(now)
        failures.clear()
        pending.clear()
        acceptedInSuccession = 0
        announce(now)
        if (!isReached) probeForReturn(now)
        onChange(true, now)
    }

    /** Announces to all VMs what this VM reaches, and repeats it for those that have missed it. */
    private fun announce(now: Moment) {
        val message = PeerMessage.UpstreamsReached(reachesUpstreams, ++sequence)
        vms.peers.forEach { vms.send(it, message) }
        timers.at(now + settings.announcementInterval) {
            if (!reachesUpstreams && sequence == message.sequence) announce(it)
        }
    }

    private fun probeForReturn(now: Moment) {
        if (reachesUpstreams) return
        if (pending.isEmpty()) {
            probed.clear()
            failures.clear()
            probe(selector.select(RETURN_PROBES, probed, failures.keys))
        }
        timers.at(now + settings.returnProbeInterval, ::probeForReturn)
    }

    private companion object {
        /** A VM that has a single upstream can't tell which of the two is at fault. */
        const val MIN_UPSTREAMS = 2

        /** How many upstreams each round of a check tries; one is enough where there is no cut. */
        val ROUND_SIZES = listOf(1, 3)
        const val RETURN_PROBES = 2
        const val ACCEPTED_TO_RECOVER = 2
    }
}
