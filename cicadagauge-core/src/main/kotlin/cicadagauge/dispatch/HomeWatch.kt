package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PeerMessage

/**
 * Notices homes that stand still. A home that requests were relayed to and that says nothing is asked for a sign of
 * life; until it gives one, other VMs are taken for home.
 */
internal class HomeWatch(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val watched = HashMap<VmId, Watch>()

    /** A request was relayed to [home] at [now]. */
    fun relayed(home: VmId, now: Moment) {
        watched.getOrPut(home) { Watch() }.lastRelayed = now
    }

    /** Asks the silent homes, and suspects those that have been asked for too long. */
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
