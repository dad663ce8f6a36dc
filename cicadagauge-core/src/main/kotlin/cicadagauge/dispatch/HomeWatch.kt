package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PeerMessage

/**
 * Detects home VMs that have stopped responding. A home that requests were relayed to is pinged once it has been silent
 * for [DispatchSettings.homePing]. If it stays silent for [DispatchSettings.homePingSilence] it is suspected, and other
 * VMs act as home in its place until it responds.
 */
internal class HomeWatch(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val watched = HashMap<VmId, Watch>()

    /** Records that a request was relayed to [home], which is monitored from now on. */
    fun relayed(home: VmId, now: Moment) {
        watched.getOrPut(home) { Watch() }.lastRelayed = now
    }

    /** Pings silent homes and suspects those that have not responded in time. */
    fun tick(now: Moment) {
        watched.entries.removeIf { (id, watch) ->
            watch.lastRelayed + settings.holdingMemory < now || vms.vm(id) == null
        }
        for ((id, watch) in watched) check(id, watch, now)
    }

    private fun check(id: VmId, watch: Watch, now: Moment) {
        if (vms.lastHeard(id) >= now - settings.homePing) {
            watch.askedSince = null
            return
        }
        val since = watch.askedSince ?: now.also { watch.askedSince = it }
        vms.vm(id)?.let { vms.send(it, PeerMessage.Ping) }
        val isSilent = vms.lastHeard(id) < since && now >= since + settings.homePingSilence
        if (isSilent) vms.suspect(id, now + settings.homeSuspicion)
    }

    private class Watch(var lastRelayed: Moment = Moment.PAST, var askedSince: Moment? = null)
}
