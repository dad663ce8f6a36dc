package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PeerMessage

/**
 * Detects home VMs that have stopped responding. A home that requests were relayed to is pinged once it has been silent
 * for [DispatchSettings.homePingInterval]. If it stays silent for [DispatchSettings.homePingTimeout] after the first
 * ping, it is suspected, and other VMs act as home in its place until it responds.
 */
internal class HomeMonitor(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val monitored = HashMap<VmId, MonitoredHome>()

    /** Records that a request was relayed to [home], which is monitored from now on. */
    fun recordRelay(home: VmId, now: Moment) {
        monitored.getOrPut(home) { MonitoredHome() }.lastRelayed = now
    }

    /** Pings silent homes and suspects those that have not responded in time. */
    fun checkHomes(now: Moment) {
        monitored.entries.removeIf { (id, home) ->
            home.lastRelayed + settings.homeTrackingTime < now || vms.vm(id) == null
        }
        for ((id, home) in monitored) checkHome(id, home, now)
    }

    private fun checkHome(id: VmId, home: MonitoredHome, now: Moment) {
        if (vms.lastHeard(id) >= now - settings.homePingInterval) {
            home.firstPingAt = null
            return
        }
        val firstPingAt = home.firstPingAt ?: now.also { home.firstPingAt = it }
        vms.vm(id)?.let { vms.send(it, PeerMessage.Ping) }
        val isSilent = vms.lastHeard(id) < firstPingAt && now >= firstPingAt + settings.homePingTimeout
        if (isSilent) vms.suspect(id, now + settings.homeSuspicion)
    }

    private class MonitoredHome(var lastRelayed: Moment = Moment.PAST, var firstPingAt: Moment? = null)
}
