/*
 * The entry VMs, as the platform lists them. The list lags behind, so a VM that doesn't answer is suspected for a
 * limited time and ranks last meanwhile; only the list decides that a VM has stopped for good.
 */
package cicadagauge.membership

import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.peer.PeerMessage
import com.dynatrace.hash4j.hashing.Hashing
import kotlin.time.Duration

/**
 * What one VM knows of all VMs, [self] included. A VM that is no longer listed has certainly stopped once it has been
 * missing from the list for [absence].
 */
internal class VmDirectory(
    val self: VmId,
    val zone: AvailabilityZone,
    private val effects: Effects,
    private val absence: Duration = Duration.ZERO,
) {
    private var vms: Map<VmId, Vm> = emptyMap()
    private val suspects = HashMap<VmId, Moment>()
    private val departing = HashSet<VmId>()
    private val seen = LinkedHashSet<VmId>()
    private val lastKnown = HashMap<VmId, Vm>()
    private val missingSince = HashMap<VmId, Moment>()
    private val heard = HashMap<VmId, Moment>()
    private val rankings = HashMap<String, List<Vm>>()
    private val responsible = HashMap<String, Vm>()
    private var lastList: List<Vm> = emptyList()

    /** All listed VMs in the order of their ids. */
    var all: List<Vm> = emptyList()
        private set

    /** All listed VMs but this one, in the order of their ids. */
    var peers: List<Vm> = emptyList()
        private set

    /** Whether a list of VMs was received and is not empty. */
    fun isListed(): Boolean = vms.isNotEmpty()

    /** Since when this VM itself is listed; [Moment.FUTURE] while it is not. */
    var selfListedSince: Moment = Moment.FUTURE
        private set

    /** Whether [vm] is on the current list. */
    fun isListed(vm: VmId): Boolean = vm in vms

    /**
     * Whether [vm], which was running at [aliveAt], has certainly stopped by [now]: it was listed and no longer is, or
     * another process has its address, or it has not appeared on the list for [lag], the longest time by which the list
     * may lag behind.
     */
    fun isGone(vm: VmId, aliveAt: Moment, lag: Duration, now: Moment): Boolean {
        if (vm in vms || vms.isEmpty()) return false
        if (isReplaced(vm)) return true
        val missing = missingSince[vm]
        return (missing != null && missing + absence <= now) || (aliveAt + lag <= now && updatedAt + lag > now)
    }

    /** Whether another listed process now has the address of [vm]. */
    private fun isReplaced(vm: VmId): Boolean {
        val address = lastKnown[vm]?.address ?: return false
        return all.any { it.id != vm && it.address == address }
    }

    /** Whether VMs of more than one availability zone were ever listed. */
    val hasSeveralZones: Boolean get() = lastKnown.values.any { it.zone != zone }

    /**
     * The VMs whose promises may allow [vm] to renew grants without the store, and that may still be running. With
     * [elsewhere] those in its own availability zone don't count. Null where [vm] was never listed here.
     */
    fun backersOf(vm: VmId, elsewhere: Boolean, aliveAt: Moment, lag: Duration, now: Moment): List<Vm>? {
        val ownZone = lastKnown[vm]?.zone ?: return null
        return lastKnown.values.filter { other ->
            val mayCount = !elsewhere || other.zone != ownZone
            mayCount && other.id != vm && other.id != self && !isGone(other.id, aliveAt, lag, now)
        }
    }

    /** When a list of VMs was last received. */
    var updatedAt: Moment = Moment.PAST
        private set

    /** The VM called [id], or null where it is not listed. */
    fun vm(id: VmId): Vm? = vms[id]

    /** Applies a newly received list of VMs; one that equals the previous list only updates [updatedAt]. */
    fun update(list: List<Vm>, now: Moment) {
        updatedAt = now
        if (list == lastList) return
        lastList = list
        vms = list.associateBy { it.id }
        selfListedSince = if (self in vms) minOf(selfListedSince, now) else Moment.FUTURE
        all = list.sortedBy { it.id }
        peers = all.filter { it.id != self }
        departing.retainAll(vms.keys)
        suspects.keys.retainAll(vms.keys)
        heard.keys.retainAll(vms.keys)
        missingSince.keys.removeAll(vms.keys)
        seen.forEach { if (it !in vms) missingSince.putIfAbsent(it, now) }
        seen += vms.keys
        list.associateByTo(lastKnown) { it.id }
        while (seen.size > MAX_SEEN) {
            seen.first().let {
                seen.remove(it)
                missingSince.remove(it)
                lastKnown.remove(it)
            }
        }
        forgetRankings()
    }

    /**
     * The VM responsible for [duty] by rendezvous hashing, in [zone] if it has a VM that is neither suspected nor
     * leaving. Null before a list was received.
     */
    fun responsible(duty: String, zone: AvailabilityZone? = null): Vm? = responsible.getOrPut(duty) {
        all.minWithOrNull(compareBy({ isLast(it) }, { zone != null && it.zone != zone }, { score(duty, it.id) }))
            ?: return null
    }

    /** The VMs in the order in which they are responsible for [duty]; leaving and suspected ones rank last. */
    fun ranked(duty: String): List<Vm> = rankings.getOrPut(duty) {
        val scored = all.map { Ranked(it, isLast(it), score(duty, it.id)) }
        scored.sortedWith(compareBy({ it.last }, { it.score })).map { it.vm }
    }

    /** Ranks [vm] last from now on, because it has announced that it stops. */
    fun depart(vm: VmId) {
        if (departing.add(vm)) forgetRankings()
    }

    /** Ranks [vm] last until [until], because it doesn't answer. */
    fun suspect(vm: VmId, until: Moment) {
        if (vm == self) return
        if (suspects.put(vm, until) == null) forgetRankings()
    }

    /** Whether [vm] is suspected, leaving or not listed. */
    fun isDoubtful(vm: VmId): Boolean = vms[vm]?.let(::isLast) ?: true

    /** Ends the suspicions that have expired by [now]. */
    fun forgive(now: Moment) {
        if (suspects.values.removeIf { it <= now }) forgetRankings()
    }

    /** When a message from [vm] was last received; [Moment.PAST] if never. */
    fun lastHeard(vm: VmId): Moment = heard[vm] ?: Moment.PAST

    /** Records a sign of life of [vm] at [now], which ends any suspicion of it. */
    fun heard(vm: VmId, now: Moment) {
        if (vm in vms) heard[vm] = now
        if (suspects.remove(vm) != null) forgetRankings()
    }

    /** Sends [message] to [vm]. */
    fun send(vm: Vm, message: PeerMessage) {
        effects.add(Effect.SendPeer(vm.id, vm.address, message))
    }

    private fun isLast(vm: Vm): Boolean = vm.leaving || vm.id in departing || vm.id in suspects

    private fun forgetRankings() {
        rankings.clear()
        responsible.clear()
    }

    private fun score(duty: String, vm: VmId): Long = Hashing.xxh3_64().hashCharsToLong("$duty|${vm.value}")

    private companion object {
        const val MAX_SEEN = 50_000
    }

    private class Ranked(val vm: Vm, val last: Boolean, val score: Long)
}
