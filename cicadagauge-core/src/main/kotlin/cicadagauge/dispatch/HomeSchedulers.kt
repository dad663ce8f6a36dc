package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.peer.PeerMessage
import cicadagauge.routing.OwnerDirectory

/** Receives the answers of home VMs to reservations. */
internal interface ReservationListener {
    /** Home VM [from] has granted a permit. */
    fun reserved(from: VmId, message: PeerMessage.Reserved, now: Moment)

    /** Home VM [from] has refused a permit. */
    fun denied(from: VmId, message: PeerMessage.Denied, now: Moment)
}

/**
 * The schedulers that one VM runs as a home VM, one per pool. Answers are sent to the VM that made the reservation;
 * those to this VM's own reservations are passed to [localListener] directly.
 */
internal class HomeSchedulers(
    private val vms: VmDirectory,
    private val owners: OwnerDirectory,
    private val settings: DispatchSettings,
    private val localListener: ReservationListener,
    private val coldUntil: (UpstreamId) -> Moment,
) {
    private val schedulers = HashMap<PoolName, Scheduler>()

    /** Whether any request is queued or holds a permit. */
    val isActive: Boolean get() = schedulers.values.any { it.isActive }

    /** Applies the pools of [declaration]. */
    fun configure(declaration: Declaration, now: Moment) {
        schedulers.keys.retainAll(declaration.pools.map { it.name }.toSet())
        for (pool in declaration.pools) {
            val scheduler = schedulers.getOrPut(pool.name) {
                Scheduler(pool, owners, settings, AnswerSender(pool.name), coldUntil)
            }
            scheduler.configure(pool, declaration, now)
        }
    }

    /** Handles a reservation of VM [from]. */
    fun reserve(from: VmId, message: PeerMessage.Reserve, now: Moment) {
        val reservation = Reservation(
            entry = from,
            id = message.id,
            slot = message.slot,
            requestClass = message.requestClass,
            customer = message.customer,
            deadline = now + message.timeLeft,
            inTimeBy = now + (message.targetLeft ?: message.timeLeft),
            zone = message.zone,
            maySpill = message.maySpill,
            since = now,
        )
        val scheduler = schedulers[message.pool]
        if (scheduler == null) {
            AnswerSender(message.pool).denied(reservation, NO_POOL, now)
        } else {
            scheduler.reserve(reservation, now)
        }
    }

    /** Handles the release of a permit by VM [from]. */
    fun release(from: VmId, message: PeerMessage.Release, now: Moment) {
        schedulers[message.pool]?.release(from, message, now)
    }

    /** Handles the list of the permits that VM [from] uses. */
    fun reconcilePermits(from: VmId, message: PeerMessage.Holding, now: Moment) {
        schedulers[message.pool]?.reconcile(from, message.ids, now)
    }

    /** Reschedules the queued requests of [pool] after its owners have changed. */
    fun ownersChanged(pool: PoolName, now: Moment) {
        schedulers[pool]?.ownersChanged(now)
    }

    /** Returns the load reports of all pools that have one, see [Scheduler.takeLoadReport]. */
    fun takeLoadReports(): List<PeerMessage.Heat> = schedulers.values.mapNotNull { it.takeLoadReport() }

    /** Denies overdue requests and reclaims expired permits in all pools. */
    fun sweep(now: Moment): Unit = schedulers.values.forEach { it.sweep(now) }

    private inner class AnswerSender(private val pool: PoolName) : SchedulerOutput {
        override fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment) {
            val message = PeerMessage.Reserved(pool, reservation.id, upstream)
            deliver(reservation.entry, message) { localListener.reserved(vms.self, message, now) }
        }

        override fun denied(reservation: Reservation, refusal: Refusal, now: Moment) {
            val message = PeerMessage.Denied(pool, reservation.id, refusal)
            deliver(reservation.entry, message) { localListener.denied(vms.self, message, now) }
        }

        private fun deliver(entry: VmId, message: PeerMessage, deliverLocally: () -> Unit) {
            if (entry == vms.self) return deliverLocally()
            vms.vm(entry)?.let { vms.send(it, message) }
        }
    }

    companion object {
        /** The answer to a reservation for a pool that is not in this VM's declaration. */
        val NO_POOL: Refusal = Refusal(Reason.NoUpstream, "the pool is not known here")
    }
}
