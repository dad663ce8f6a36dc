/*
 * Certainty without the store. When the store answers nobody, no term can be raised, and the allocator of a pool may
 * go on deciding. It asks every other VM: each one that gets no answer from the store either, and knows no higher
 * term, promises to leave the duty alone for a while. Nothing is stored or voted on; with one promise missing there is
 * no certainty, and no slot moves. For renewing what was granted one promise of a VM in another availability zone is
 * enough: a successor asks all of those until when their promises last.
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
    private var lastAsked = Moment.PAST
    private var since: Moment? = null

    /** Asks every other VM to promise anew, where the last question is old enough. */
    fun ask(term: Term, now: Moment) {
        if (now < lastAsked + settings.renewal) return
        lastAsked = now
        sequence++
        askedAt[sequence] = now
        askedAt.keys.removeIf { it <= sequence - MAX_OPEN_QUERIES }
        vms.peers.forEach { vms.send(it, PeerMessage.OutageQuery(pool, term, sequence)) }
    }

    /** Forgets all promises, and those that may still come in answer to earlier questions. */
    fun forget() {
        promisedUntil.clear()
        askedAt.clear()
        since = null
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

    /** Whether a VM whose word is enough for renewals keeps its promise at [now]. */
    fun isBacked(now: Moment): Boolean {
        val listIsFresh = vms.updatedAt + settings.listLag > now
        val several = vms.hasSeveralZones
        return listIsFresh &&
            vms.peers.any { peer ->
                val counts = !several || peer.zone != vms.zone
                counts && (promisedUntil[peer.id] ?: Moment.PAST) > now
            }
    }

    private companion object {
        const val MAX_OPEN_QUERIES = 32
    }
}
