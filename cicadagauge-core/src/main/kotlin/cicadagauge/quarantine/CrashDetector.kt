package cicadagauge.quarantine

import cicadagauge.declaration.Upstream
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange
import cicadagauge.node.UpstreamState

/**
 * Distinguishes upstreams that have crashed from those that closed a connection: after a connection broke, a new one is
 * opened. An upstream that refuses it counts as crashed by one of the requests that were running there.
 */
internal class CrashDetector(private val effects: Effects) {
    private val checks = HashMap<UpstreamId, MutableSet<RequestFingerprint>>()

    /** Checks [upstream], whose connection broke while it ran a request with [fingerprint], if that is known. */
    fun connectionBroke(upstream: Upstream, fingerprint: RequestFingerprint?) {
        val running = checks.getOrPut(upstream.id) {
            effects.add(Effect.CheckUpstream(upstream.id, upstream.address))
            LinkedHashSet()
        }
        if (fingerprint != null && running.size < MAX_REQUESTS_PER_CRASH) running += fingerprint
    }

    /** Returns the requests that may have crashed [upstream], none if it is not [UpstreamState.Refusing]. */
    fun checked(upstream: UpstreamId, state: UpstreamState): Set<RequestFingerprint> {
        val running = checks.remove(upstream).orEmpty()
        if (state != UpstreamState.Refusing) return emptySet()
        effects.add(Effect.StateChanged(StateChange.UpstreamCrashed(upstream, running)))
        return running
    }

    private companion object {
        const val MAX_REQUESTS_PER_CRASH = 64
    }
}
