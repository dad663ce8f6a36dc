/*
 * Certainty without the store. When the store answers nobody, no term can be raised, and the allocator of a pool may
 * go on deciding. It asks every other VM: each one that gets no answer from the store either, and holds no higher
 * term, promises to leave the duty alone for a while. Nothing is stored or voted on; with one promise missing there is
 * no certainty, and no slot moves.
 */
package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage

/** Collects the other VMs' promises for one duty. */
internal class OutageWitness(
    private val pool: PoolName,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
) {
    private val promisedUntil = HashMap<VmId, Moment>()
    private val askedAt = HashMap<Long, Moment>()
    private var sequence = 0L
    private var since: Moment? = null

    /** Asks every other VM to promise anew. */
    fun ask(term: Term, now: Moment) {
        sequence++
        askedAt[sequence] = now
        askedAt.keys.removeIf { it <= sequence - MAX_OPEN_QUERIES }
        vms.peers.forEach { vms.send(it, PeerMessage.OutageQuery(pool, term, sequence)) }
    }

    /** Takes a promise; it counts from when it was asked for. */
    fun promised(from: VmId, message: PeerMessage.OutagePromise) {
        val asked = askedAt[message.sequence] ?: return
        promisedUntil.merge(from, asked + settings.outagePromise * (1 - 2 * settings.clockDrift), ::maxOf)
    }

    /** Since when every other listed VM has kept its promise, or null where one is missing at [now]. */
    fun certainSince(now: Moment): Moment? {
        val listIsFresh = vms.updatedAt + settings.outagePromise > now
        val certain = listIsFresh && vms.peers.all { (promisedUntil[it.id] ?: Moment.PAST) > now }
        since = if (certain) since ?: now else null
        return since
    }

    private companion object {
        const val MAX_OPEN_QUERIES = 32
    }
}
