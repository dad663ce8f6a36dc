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
 */
internal class HomeMonitor(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val lastRelayed = HashMap<VmId, Moment>()
    private val detector = SilenceDetector(
        vms = vms,
        pingInterval = settings.homePingInterval,
        timeout = settings.homePingTimeout,
        suspicion = settings.homeSuspicion,
    )

    /** Records that a request was relayed to [home], which is monitored from now on. */
    fun recordRelay(home: VmId, now: Moment) {
        lastRelayed[home] = now
    }

    /** Pings silent homes and suspects those that have not responded in time. */
    fun checkHomes(now: Moment) {
        lastRelayed.entries.removeIf { (id, at) -> at + settings.homeTrackingTime < now || vms.vm(id) == null }
        detector.check(lastRelayed.keys, now)
    }
}
