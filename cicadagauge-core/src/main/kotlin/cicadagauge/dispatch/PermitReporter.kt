package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.peer.PeerMessage

/**
 * Tells each home VM which of its permits are in use. Otherwise, a permit whose release message was lost would stay
 * taken until it expires, which is after the request's deadline.
 */
internal class PermitReporter(private val vms: VmDirectory, private val settings: DispatchSettings) {
    private val lastGranted = HashMap<PermitSource, Moment>()

    /** Records that [home] has granted a permit of [pool]. */
    fun recordGrant(home: VmId, pool: PoolName, now: Moment) {
        if (home != vms.self) lastGranted[PermitSource(home, pool)] = now
    }

    /** Reports which of [requests] run under a permit to the homes that granted one of late. */
    fun report(requests: Collection<PendingRequest>, now: Moment) {
        lastGranted.values.removeIf { it + settings.homeTrackingTime < now }
        if (lastGranted.isEmpty()) return
        val running = requests.filter { it.state is PendingRequest.State.Running }
            .groupBy { PermitSource((it.state as PendingRequest.State.Running).home, it.pool.name) }
        for (source in lastGranted.keys) {
            val ids = running[source].orEmpty().map { it.id }.toSet()
            vms.vm(source.home)?.let { vms.send(it, PeerMessage.Holding(source.pool, ids)) }
        }
    }

    private data class PermitSource(val home: VmId, val pool: PoolName)
}
