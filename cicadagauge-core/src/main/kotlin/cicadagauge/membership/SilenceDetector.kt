package cicadagauge.membership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import kotlin.time.Duration

/**
 * Pings VMs that were silent for [pingInterval]. One that stays silent for [timeout] after the first ping is suspected
 * for [suspicion], or until it is heard again.
 */
internal class SilenceDetector(
    private val vms: VmDirectory,
    private val pingInterval: Duration,
    private val timeout: Duration,
    private val suspicion: Duration,
) {
    private val firstPingAt = HashMap<VmId, Moment>()

    /** Checks the [monitored] VMs and returns whether any of them is now suspected. */
    fun check(monitored: Set<VmId>, now: Moment): Boolean {
        firstPingAt.keys.retainAll(monitored)
        // Each of them is pinged, also where one is known to be silent.
        return monitored.count { isSilent(it, now) } > 0
    }

    private fun isSilent(id: VmId, now: Moment): Boolean {
        val vm = vms.vm(id) ?: return false
        if (vms.lastHeard(id) >= now - pingInterval) {
            firstPingAt -= id
            return false
        }
        val pingedAt = firstPingAt.getOrPut(id) { now }
        vms.send(vm, PeerMessage.Ping)
        val isSilent = vms.lastHeard(id) < pingedAt && now >= pingedAt + timeout
        if (isSilent) vms.suspect(id, now + suspicion)
        return isSilent
    }
}
