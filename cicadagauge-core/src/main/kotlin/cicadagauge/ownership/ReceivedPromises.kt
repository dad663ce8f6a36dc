/*
 * Lets an allocator continue during a store outage. While the store answers no VM, no term can be raised, so the
 * allocator of a pool may go on moving slots. To make sure of that it asks every other VM. Each VM that gets no answer
 * from the store either, and knows no higher term, promises not to take the duty for a limited time. Nothing is stored
 * and there is no quorum: if one promise is missing, no slot moves. To renew existing grants, one promise of a VM in
 * another availability zone is enough, since a successor asks all VMs of other zones when their promises end.
 */
package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage

/** Collects the other VMs' promises not to take the duty of [pool] during a store outage. */
internal class ReceivedPromises(
    private val pool: PoolName,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
) {
    private val promisedUntil = HashMap<VmId, Moment>()
    private val queriedAt = HashMap<Long, Moment>()
    private var sequence = 0L
    private var lastQueryAt = Moment.PAST
    private var inForceSince: Moment? = null

    /** Asks every other VM for a new promise, at most once every [OwnershipSettings.renewal]. */
    fun query(term: Term, now: Moment) {
        if (now < lastQueryAt + settings.renewal) return
        lastQueryAt = now
        sequence++
        queriedAt[sequence] = now
        queriedAt.keys.removeIf { it <= sequence - MAX_OPEN_QUERIES }
        vms.peers.forEach { vms.send(it, PeerMessage.OutageQuery(pool, term, sequence)) }
    }

    /** Discards all promises, and ignores those that answer earlier queries. */
    fun discard() {
        promisedUntil.clear()
        queriedAt.clear()
        inForceSince = null
    }

    /**
     * Records a promise. It counts from the time of the query and is shortened by twice the clock drift, so that it
     * ends here before it ends at the sender.
     */
    fun promiseReceived(from: VmId, message: PeerMessage.OutagePromise) {
        val queried = queriedAt[message.sequence] ?: return
        promisedUntil.merge(from, queried + settings.outagePromise * (1 - 2 * settings.clockDrift), ::maxOf)
    }

    /**
     * Since when promises of all other listed VMs have been in force. Null if one is missing at [now], or if the list
     * is older than [OwnershipSettings.outagePromise].
     */
    fun completeSince(now: Moment): Moment? {
        val isListFresh = vms.updatedAt + settings.outagePromise > now
        val isComplete = isListFresh && vms.peers.all { (promisedUntil[it.id] ?: Moment.PAST) > now }
        inForceSince = if (isComplete) inForceSince ?: now else null
        return inForceSince
    }

    /**
     * Whether a promise that suffices for renewals is in force at [now]: one of a VM in another availability zone, or
     * of any VM if there is only one zone. False if the list of VMs is older than [OwnershipSettings.listLag].
     */
    fun canBackRenewals(now: Moment): Boolean {
        val isListFresh = vms.updatedAt + settings.listLag > now
        val needsOtherZone = vms.hasSeveralZones
        return isListFresh &&
            vms.peers.any { peer ->
                val isSufficient = !needsOtherZone || peer.zone != vms.zone
                isSufficient && (promisedUntil[peer.id] ?: Moment.PAST) > now
            }
    }

    private companion object {
        const val MAX_OPEN_QUERIES = 32
    }
}
