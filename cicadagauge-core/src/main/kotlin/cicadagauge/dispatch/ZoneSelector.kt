package cicadagauge.dispatch

import cicadagauge.identity.AvailabilityZone
import kotlin.time.Duration

/**
 * Selects the availability zone that serves a request without a key. The [zones] are tried in order until one serves
 * the request without a long wait; if none does, the request waits in the zone with the shortest expected wait. With
 * [isFinal] the request stays in the first zone.
 */
internal class ZoneSelector(zones: List<AvailabilityZone>, private val isFinal: Boolean = false) {
    /** The zones to try, in this order. */
    var zones: List<AvailabilityZone> = zones
        private set

    private var currentIndex = 0
    private var shortestWaitZone: AvailabilityZone? = null
    private var shortestWait = Duration.INFINITE

    /** The zone to try now, or null if there is none. */
    var zone: AvailabilityZone? = zones.firstOrNull()
        private set

    /** Whether the request should try another zone rather than wait in this one. */
    val maySpill: Boolean get() = !isFinal && currentIndex < zones.size && (zones.size > 1 || shortestWaitZone != null)

    /**
     * Doesn't try the zones [leftOut], where the request would wait for long. If none of the others serves it without a
     * long wait either, it may still wait in [leastWaitZone], one of those left out, with the expected [wait].
     */
    fun leaveOut(leftOut: Set<AvailabilityZone>, leastWaitZone: AvailabilityZone, wait: Duration) {
        zones = zones - leftOut
        shortestWaitZone = leastWaitZone
        shortestWait = wait
        zone = zones.firstOrNull() ?: leastWaitZone
    }

    /**
     * Moves on to the next zone, because the expected wait in the current one is [wait]. After the last zone, moves
     * back to the one with the shortest wait. Returns false if the request has to stay in the current zone.
     */
    fun tryNext(wait: Duration): Boolean {
        if (!maySpill) return false
        if (wait < shortestWait) {
            shortestWait = wait
            shortestWaitZone = zone
        }
        currentIndex++
        zone = zones.getOrNull(currentIndex) ?: shortestWaitZone
        return zone != null
    }
}
