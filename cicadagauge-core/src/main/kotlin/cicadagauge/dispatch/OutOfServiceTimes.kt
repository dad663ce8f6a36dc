package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.DispatchSettings

/**
 * Until when upstreams that are out of service go on serving the keys that they own. Keys take time to move, and may
 * not move at all, because no other upstream is left or the pool's allocator is lost.
 */
internal class OutOfServiceTimes(private val settings: DispatchSettings) {
    private val absences = HashMap<UpstreamId, Absence>()

    /** Applies the state of [upstreams] in [declaration]. */
    fun configure(upstreams: List<Upstream>, declaration: Declaration, now: Moment) {
        val out = upstreams.filter(declaration::isOut)
        absences.keys.retainAll(out.map { it.id }.toSet())
        for (upstream in out) {
            val known = absences[upstream.id]?.takeIf { it.run == upstream.run }
            val isTakenOut = !upstream.isDraining || declaration.isOut(upstream.copy(isDraining = false))
            absences[upstream.id] = Absence(
                run = upstream.run,
                drainingSince = if (upstream.isDraining) known?.drainingSince ?: now else null,
                takenOutSince = if (isTakenOut) known?.takenOutSince ?: now else null,
            )
        }
    }

    /** Whether [upstream] may be sent requests for its keys at [now]. */
    fun mayServe(upstream: UpstreamId, now: Moment): Boolean {
        val absence = absences[upstream] ?: return true
        val isDrained = absence.drainingSince?.let { it + settings.drainingServiceTime <= now } ?: false
        val isTakenOut = absence.takenOutSince?.let { it + settings.takenOutServiceTime <= now } ?: false
        return !isDrained && !isTakenOut
    }

    private class Absence(val run: Incarnation?, val drainingSince: Moment?, val takenOutSince: Moment?)
}
