package cicadagauge.dispatch

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PermitResult
import kotlin.time.Duration

/** Returns permits to the home VMs that have granted them; [schedulers] are those of this VM. */
internal class PermitReturner(private val vms: VmDirectory, private val schedulers: HomeSchedulers) {
    /** Returns the permit of the request in [message] to [home]. */
    fun release(home: VmId, message: PeerMessage.Release, now: Moment) {
        val vm = vms.vm(home)
        if (home == vms.self || vm == null) schedulers.release(vms.self, message, now) else vms.send(vm, message)
    }

    /** Withdraws the reservation of request [id] at [home], or returns its permit, with which nothing was sent. */
    fun releaseUnused(pool: PoolName, id: RequestId, home: VmId, now: Moment): Unit =
        release(home, PeerMessage.Release(pool, id, PermitResult.Unused, Duration.ZERO), now)
}
