/*
 * This VM's lease in the platform store, under which it holds its duties and is registered. Its validity counts from
 * the moment a renewal was sent, on this VM's own clock, so it never outlasts the store's idea of it.
 */
package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreLeaseId
import cicadagauge.store.StoreReply

/** Keeps a store lease alive while it is wanted. */
internal class ProcessLease(
    private val store: StoreClient,
    private val timers: Timers,
    private val settings: OwnershipSettings,
) {
    private val listeners = ArrayList<(Moment) -> Unit>()
    private var wanted = false
    private var calling = false
    private var doubtedAt = Moment.PAST

    /** The lease, or null where there is none. */
    var id: StoreLeaseId? = null
        private set

    /** Until when this VM may count on the lease. */
    var validUntil: Moment = Moment.PAST
        private set

    /** Makes sure that there is a lease, now or soon. */
    fun want(now: Moment) {
        if (wanted) return
        wanted = true
        renew(now)
    }

    /** Calls [listener] whenever the store no longer knows the lease. */
    fun onLapse(listener: (Moment) -> Unit) {
        listeners += listener
    }

    /** Lets the lease lapse. */
    fun drop() {
        wanted = false
        id = null
        validUntil = Moment.PAST
    }

    /** Trusts the lease only once it was renewed after [now]. */
    fun doubt(now: Moment) {
        doubtedAt = now
        validUntil = Moment.PAST
        renew(now)
    }

    private fun renew(now: Moment) {
        if (!wanted || calling) return
        calling = true
        val call = id?.let { StoreCall.RenewLease(it) } ?: StoreCall.CreateLease(settings.dutyLease)
        store.call(call) { reply, moment -> renewed(reply, sentAt = now, now = moment) }
    }

    private fun renewed(reply: StoreReply, sentAt: Moment, now: Moment) {
        calling = false
        if (!wanted) return
        when (reply) {
            is StoreReply.LeaseHeld -> {
                id = reply.lease
                if (sentAt >= doubtedAt) validUntil = sentAt + settings.dutyLease * (1 - settings.clockDrift)
            }
            StoreReply.LeaseLapsed -> {
                id = null
                validUntil = Moment.PAST
                listeners.forEach { it(now) }
            }
            else -> Unit
        }
        timers.at(maxOf(now, sentAt + settings.dutyRenewal), ::renew)
    }
}
