/*
 * This VM's lease in the platform store, under which it holds its duties and is registered. Its validity counts from
 * the time when a renewal was sent, on this VM's own clock, so that it ends here no later than in the store.
 */
package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreCallId
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreLeaseId
import cicadagauge.store.StoreReply

/** Creates a store lease when it is needed, and renews it until it is dropped. */
internal class ProcessLease(
    private val store: StoreClient,
    private val timers: Timers,
    private val settings: OwnershipSettings,
) {
    private val listeners = ArrayList<(Moment) -> Unit>()
    private var isWanted = false
    private var openCall: StoreCallId? = null
    private var chain = 0
    private var invalidatedAt = Moment.PAST

    /** The id of the lease, or null if there is none. */
    var id: StoreLeaseId? = null
        private set

    /** The end of the time for which this VM may rely on the lease. */
    var validUntil: Moment = Moment.PAST
        private set

    /** Starts to create and renew the lease, unless that has been started. */
    fun acquire(now: Moment) {
        if (isWanted) return
        isWanted = true
        renew(now)
    }

    /** Calls [listener] with the current time whenever the store reports that the lease no longer exists. */
    fun onLapse(listener: (Moment) -> Unit) {
        listeners += listener
    }

    /** Stops renewing the lease, so that it expires in the store. */
    fun drop() {
        isWanted = false
        id = null
        validUntil = Moment.PAST
    }

    /** Treats the lease as invalid until a renewal that was sent at [now] or later succeeds. */
    fun invalidate(now: Moment) {
        invalidatedAt = now
        validUntil = Moment.PAST
        renew(now)
    }

    /** Gives the lease up, because the store is in another era, and creates another one. */
    fun eraChanged(now: Moment) {
        openCall?.let(store::cancel)
        openCall = null
        chain++
        id = null
        validUntil = Moment.PAST
        renew(now)
    }

    private fun renew(now: Moment) {
        if (!isWanted || openCall != null) return
        val call = id?.let { StoreCall.RenewLease(it) } ?: StoreCall.CreateLease(settings.dutyLease)
        openCall = store.call(call) { reply, moment -> handleReply(reply, sentAt = now, now = moment) }
    }

    private fun handleReply(reply: StoreReply, sentAt: Moment, now: Moment) {
        openCall = null
        if (!isWanted) return
        when (reply) {
            is StoreReply.LeaseHeld -> {
                id = reply.lease
                if (sentAt >= invalidatedAt) validUntil = sentAt + settings.dutyLease * (1 - settings.clockDrift)
            }
            StoreReply.LeaseLapsed -> {
                id = null
                validUntil = Moment.PAST
                listeners.forEach { it(now) }
            }
            else -> Unit
        }
        val ownChain = chain
        timers.at(maxOf(now, sentAt + settings.dutyRenewal)) { if (chain == ownChain) renew(it) }
    }
}
