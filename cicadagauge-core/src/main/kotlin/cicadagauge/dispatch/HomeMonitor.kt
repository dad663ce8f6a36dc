package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.SilenceDetector
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings

/**
 * Detects home VMs that have stopped responding. A home that requests were relayed to within
 * [DispatchSettings.homeTrackingTime] is pinged while it is silent. If it stays silent, it is suspected, and other VMs
 * act as home in its place until it responds.
 *
 * In a large fleet a VM uses nearly every other one as a home, each of them rarely. Where more than
 * [DispatchSettings.maxPingedHomes] are in use, only those are pinged that have left a request unanswered.
 */
internal class HomeMonitor(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val homes = HashMap<VmId, HomeUse>()
    private val detector = SilenceDetector(
        vms = vms,
        pingInterval = settings.homePingInterval,
        timeout = settings.homePingTimeout,
        suspicion = settings.homeSuspicion,
    )

    /** Records that a request was relayed to [home], which is monitored from now on. */
    fun recordRelay(home: VmId, now: Moment): Unit = homes.getOrPut(home) { HomeUse() }.relayed(now)

    /** Records that a relay to [home] has ended, with or without an answer. */
    fun recordRelayEnd(home: VmId, now: Moment) {
        homes[home]?.ended(now)
    }

    /** Pings silent homes and suspects those that have not responded in time. */
    fun checkHomes(now: Moment) {
        homes.entries.removeIf { (id, use) -> use.lastRelayed + settings.homeTrackingTime < now || vms.vm(id) == null }
        detector.check(monitored(now), now)
    }

    private fun monitored(now: Moment): Set<VmId> {
        if (homes.size <= settings.maxPingedHomes) return homes.keys
        return homes.filterValues { it.waitingSince + settings.homePatience <= now }.keys
    }

    /** The requests that were relayed to one home. */
    private class HomeUse {
        private var unanswered = 0

        var lastRelayed = Moment.PAST
            private set

        /** Since when relays have been unanswered without any of them ending; [Moment.FUTURE] if none is. */
        var waitingSince = Moment.FUTURE
            private set

        fun relayed(now: Moment) {
            lastRelayed = now
            if (unanswered++ == 0) waitingSince = now
        }

        fun ended(now: Moment) {
            unanswered = maxOf(0, unanswered - 1)
            waitingSince = if (unanswered == 0) Moment.FUTURE else now
        }
    }
}
