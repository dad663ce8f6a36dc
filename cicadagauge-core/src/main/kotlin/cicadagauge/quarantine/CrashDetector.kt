package cicadagauge.quarantine

import cicadagauge.declaration.Upstream
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.UpstreamId
import cicadagauge.membership.ReachabilityCheck
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.StateChange
import cicadagauge.node.UpstreamState
import cicadagauge.peer.CrashRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Distinguishes upstreams that have crashed from those that closed a connection: after a connection broke, a new one is
 * opened. An upstream that refuses it counts as crashed by one of the requests that were running there, unless this VM
 * reaches no upstream at all.
 */
internal class CrashDetector(
    private val settings: QuarantineSettings,
    private val quarantine: RequestQuarantine,
    private val effects: Effects,
    private val reachability: ReachabilityCheck,
) {
    private val checks = HashMap<UpstreamId, MutableMap<RequestFingerprint, CrashRecord>>()

    /** The requests of upstreams that refuse connections, while it is checked whether this VM reaches others. */
    private val confirming = ArrayList<Map<RequestFingerprint, CrashRecord>>()
    private val lastCrashes = ArrayDeque<Moment>()

    /**
     * Checks [upstream], whose connection broke while it ran a request with [fingerprint], if that is known. [before]
     * is the record of that fingerprint when the request was sent.
     */
    fun connectionBroke(upstream: Upstream, fingerprint: RequestFingerprint?, before: CrashRecord) {
        val running = checks.getOrPut(upstream.id) {
            effects.add(Effect.CheckUpstream(upstream.id, upstream.address))
            LinkedHashMap()
        }
        if (fingerprint != null && running.size < MAX_REQUESTS_PER_CRASH) running.putIfAbsent(fingerprint, before)
    }

    /** Handles the outcome of the check of [upstream]. */
    fun checked(upstream: UpstreamId, state: UpstreamState, now: Moment) {
        val running = checks.remove(upstream) ?: return
        if (state != UpstreamState.Refusing) return
        confirming += running
        reachability.check(now) { reachesUpstreams, moment ->
            confirming -= running
            if (reachesUpstreams) crashed(upstream, running, moment)
        }
    }

    /** Whether a request of [customer] with [head] ran at an upstream that is being checked. */
    fun isChecking(customer: CustomerName, head: HeadDigest): Boolean =
        isAnyChecked { it.customer == customer && it.head == head }

    /** Whether a request with [fingerprint] ran at an upstream that is being checked. */
    fun isChecking(fingerprint: RequestFingerprint?): Boolean =
        fingerprint != null && isAnyChecked { it == fingerprint }

    private fun isAnyChecked(matches: (RequestFingerprint) -> Boolean): Boolean =
        checks.values.any { it.keys.any(matches) } || confirming.any { it.keys.any(matches) }

    private fun crashed(upstream: UpstreamId, running: Map<RequestFingerprint, CrashRecord>, now: Moment) {
        effects.add(Effect.StateChanged(StateChange.UpstreamCrashed(upstream, running.keys)))
        if (isOneOfMany(now)) return
        running.forEach { (fingerprint, before) -> quarantine.crashed(fingerprint, before, now) }
    }

    /** Whether so many upstreams crash that a request is not the likely cause, as when an availability zone is lost. */
    private fun isOneOfMany(now: Moment): Boolean {
        while (lastCrashes.isNotEmpty() && lastCrashes.first() + CRASH_WINDOW <= now) lastCrashes.removeFirst()
        lastCrashes.addLast(now)
        return lastCrashes.size > settings.maxCrashesPerSecond
    }

    private companion object {
        const val MAX_REQUESTS_PER_CRASH = 64
        val CRASH_WINDOW: Duration = 1.seconds
    }
}
