package cicadagauge.dispatch

import cicadagauge.identity.AvailabilityZone
import kotlin.time.Duration

/**
 * Selects the availability zone that serves a request without a key. The [zones] are tried in order until one serves
 * the request without a long wait; if none does, the request waits in the zone with the shortest expected wait. With
 * [isFinal] the request stays in the first zone.
 */
internal class ZoneChoice(private val zones: List<AvailabilityZone>, private val isFinal: Boolean = false) {
    private var next = 0
    private var soonest: AvailabilityZone? = null
    private var leastWait = Duration.INFINITE

    /** The zone to try now, or null if there is none. */
    var zone: AvailabilityZone? = zones.firstOrNull()
        private set

    /** Whether the request should try another zone rather than wait in this one. */
    val maySpill: Boolean get() = !isFinal && next < zones.size && zones.size > 1

    /**
     * Moves on to the next zone, because the expected wait in the current one is [wait]. Returns false if there is no
     * other zone to try.
     */
    fun goOn(wait: Duration): Boolean {
        if (!maySpill) return false
        if (wait < leastWait) {
            leastWait = wait
            soonest = zone
        }
        next++
        zone = zones.getOrNull(next) ?: soonest
        return zone != null
    }
}
