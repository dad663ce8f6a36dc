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
import kotlin.math.ln
import kotlin.time.Duration

/**
 * What one VM knows of all VMs, [self] included. A VM that is no longer listed has certainly stopped once it has been
 * missing from the list for [absenceTimeout].
 */
internal class VmDirectory(
    val self: VmId,
    val zone: AvailabilityZone,
    private val effects: Effects,
    private val absenceTimeout: Duration = Duration.ZERO,
) {
    private var vms: Map<VmId, Vm> = emptyMap()
    private val suspects = HashMap<VmId, Moment>()
    private val leavingVms = HashSet<VmId>()
    private val cutOffUntil = HashMap<VmId, Moment>()
    private val everListed = LinkedHashSet<VmId>()
    private val lastKnown = HashMap<VmId, Vm>()
    private val missingSince = HashMap<VmId, Moment>()
    private val lastHeardAt = HashMap<VmId, Moment>()
    private val rankings = HashMap<String, List<Vm>>()
    private val responsibleVms = HashMap<String, Vm>()
    private var lastList: List<Vm> = emptyList()

    /** All listed VMs in the order of their ids. */
    var all: List<Vm> = emptyList()
        private set

    /** All listed VMs but this one, in the order of their ids. */
    var peers: List<Vm> = emptyList()
        private set

    /** Whether the latest list of VMs names any; false before the first list. */
    fun hasList(): Boolean = vms.isNotEmpty()

    /** Since when this VM itself is listed; [Moment.FUTURE] while it is not. */
    var selfListedSince: Moment = Moment.FUTURE
        private set

    /** Whether [vm] is on the current list. */
    fun isListed(vm: VmId): Boolean = vm in vms

    /**
     * Whether [vm], which was running at [aliveAt], has certainly stopped by [now]: it was listed and has been missing
     * for [absenceTimeout], or another process has its address, or it is still not listed [lag] after [aliveAt], though
     * a list was received within [lag]. [lag] is the longest time by which the list may lag behind.
     */
    fun isGone(vm: VmId, aliveAt: Moment, lag: Duration, now: Moment): Boolean {
        if (vm in vms || vms.isEmpty()) return false
        if (isReplaced(vm)) return true
        val missing = missingSince[vm]
        return (missing != null && missing + absenceTimeout <= now) || (aliveAt + lag <= now && updatedAt + lag > now)
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
     * [otherZonesOnly] those in its own availability zone don't count. Null where [vm] was never listed here.
     */
    fun promisersOf(vm: VmId, otherZonesOnly: Boolean, aliveAt: Moment, lag: Duration, now: Moment): List<Vm>? {
        val ownZone = lastKnown[vm]?.zone ?: return null
        return lastKnown.values.filter { other ->
            val mayCount = !otherZonesOnly || other.zone != ownZone
            mayCount && other.id != vm && other.id != self && !isGone(other.id, aliveAt, lag, now)
        }
    }

    /** The other VMs that were ever listed and may still be running at [now], see [isGone]. */
    fun possiblyRunning(aliveAt: Moment, lag: Duration, now: Moment): List<Vm> =
        lastKnown.values.filter { it.id != self && !isGone(it.id, aliveAt, lag, now) }

    /** When a list of VMs was last received. */
    var updatedAt: Moment = Moment.PAST
        private set

    /** The listed VM with [id], or null. */
    fun vm(id: VmId): Vm? = vms[id]

    /** The VM with [id] as it was last listed, or null if it never was. */
    fun lastKnown(id: VmId): Vm? = vms[id] ?: lastKnown[id]

    /** Applies a newly received list of VMs; one that equals the previous list only updates [updatedAt]. */
    fun update(list: List<Vm>, now: Moment) {
        updatedAt = now
        if (list == lastList) return
        lastList = list
        vms = list.associateBy { it.id }
        selfListedSince = if (self in vms) minOf(selfListedSince, now) else Moment.FUTURE
        all = list.sortedBy { it.id }
        peers = all.filter { it.id != self }
        leavingVms.retainAll(vms.keys)
        suspects.keys.retainAll(vms.keys)
        cutOffUntil.keys.retainAll { it in vms || it == self }
        lastHeardAt.keys.retainAll(vms.keys)
        missingSince.keys.removeAll(vms.keys)
        everListed.forEach { if (it !in vms) missingSince.putIfAbsent(it, now) }
        everListed += vms.keys
        list.associateByTo(lastKnown) { it.id }
        while (everListed.size > MAX_REMEMBERED_VMS) {
            everListed.first().let {
                everListed.remove(it)
                missingSince.remove(it)
                lastKnown.remove(it)
            }
        }
        clearRankings()
    }

    /**
     * The VM responsible for [duty] by rendezvous hashing, in [zone] if it has a VM that is neither suspected nor
     * leaving. With [needsUpstreams], VMs that reach no upstream rank behind those that do. Null before a list was
     * received. The result is cached by [duty] alone until the ranking changes, so a later call with other arguments
     * may return the VM of the earlier one.
     */
    fun responsibleFor(duty: String, zone: AvailabilityZone? = null, needsUpstreams: Boolean = false): Vm? =
        responsibleVms.getOrPut(duty) {
            val order = compareBy<Vm>(
                { ranksLast(it) },
                { needsUpstreams && it.id in cutOffUntil },
                { zone != null && it.zone != zone },
                { score(duty, it) },
            )
            all.minWithOrNull(order) ?: return null
        }

    /** The VMs in the order in which they are responsible for [duty]; leaving and suspected ones rank last. */
    fun ranked(duty: String): List<Vm> = rankings.getOrPut(duty) {
        val scored = all.map { Ranked(it, ranksLast(it), score(duty, it)) }
        scored.sortedWith(compareBy({ it.ranksLast }, { it.score })).map { it.vm }
    }

    /** Ranks [vm] last from now on, because it has announced that it stops. */
    fun markLeaving(vm: VmId) {
        if (leavingVms.add(vm)) clearRankings()
    }

    /** Ranks [vm] last until [until], because it doesn't answer. */
    fun suspect(vm: VmId, until: Moment) {
        if (vm == self) return
        if (suspects.put(vm, until) == null) clearRankings()
    }

    /** Whether [vm] is suspected, leaving or not listed. */
    fun isSuspectedOrLeaving(vm: VmId): Boolean = vms[vm]?.let(::ranksLast) ?: true

    /** Notes that [vm] reaches no upstream, until [until] at least. */
    fun markCutOff(vm: VmId, until: Moment) {
        if (vm != self && vm !in vms) return
        val known = cutOffUntil[vm]
        cutOffUntil[vm] = maxOf(until, known ?: until)
        if (known == null) clearRankings()
    }

    /** Notes that [vm] reaches upstreams. */
    fun endCutOff(vm: VmId) {
        if (cutOffUntil.remove(vm) != null) clearRankings()
    }

    /** Whether [vm] reaches no upstream. */
    fun isCutOff(vm: VmId): Boolean = vm in cutOffUntil

    /**
     * Whether this VM reaches no upstream, but another one does. If none does, the upstreams are at fault, and the VMs
     * keep their roles.
     */
    fun isBypassed(): Boolean = self in cutOffUntil && peers.any { it.id !in cutOffUntil && !ranksLast(it) }

    /** Ends the suspicions and the announcements of other VMs that have expired by [now]. */
    fun expireSuspicions(now: Moment) {
        val hasEnded = suspects.values.removeIf { it <= now }
        if (cutOffUntil.values.removeIf { it <= now } || hasEnded) clearRankings()
    }

    /** When a message from [vm] was last received; [Moment.PAST] if never. */
    fun lastHeard(vm: VmId): Moment = lastHeardAt[vm] ?: Moment.PAST

    /** Records a sign of life of [vm] at [now], which ends any suspicion of it. */
    fun recordContact(vm: VmId, now: Moment) {
        if (vm in vms) lastHeardAt[vm] = now
        if (suspects.remove(vm) != null) clearRankings()
    }

    /** Sends [message] to [vm]. */
    fun send(vm: Vm, message: PeerMessage) {
        effects.add(Effect.SendPeer(vm.id, vm.address, message))
    }

    private fun ranksLast(vm: Vm): Boolean = vm.leaving || vm.id in leavingVms || vm.id in suspects

    private fun clearRankings() {
        rankings.clear()
        responsibleVms.clear()
    }

    /** Weighted rendezvous hashing: the lowest score wins, with a probability in proportion to the VM's weight. */
    private fun score(duty: String, vm: Vm): Double {
        val hash = Hashing.xxh3_64().hashCharsToLong("$duty|${vm.id.value}")
        val uniform = ((hash ushr HASH_SHIFT) + HALF) / (1L shl HASH_BITS)
        return -ln(uniform) / weightOf(vm)
    }

    /** Callers are spread over the VMs without regard to size, so that the smallest have little left for others. */
    private fun weightOf(vm: Vm): Double =
        maxOf(vm.capacity - OWN_CALLERS_CAPACITY, vm.capacity * MIN_SPARE_FRACTION, MIN_WEIGHT)

    private companion object {
        /** The fraction of a 64-bit hash that a double holds exactly. */
        const val HASH_BITS = 52
        const val HASH_SHIFT = 64 - HASH_BITS
        const val HALF = 0.5

        /** What a VM's own callers take of its processor, in cores. */
        const val OWN_CALLERS_CAPACITY = 0.25
        const val MIN_SPARE_FRACTION = 0.1
        const val MIN_WEIGHT = 1e-3
        const val MAX_REMEMBERED_VMS = 50_000
    }

    private class Ranked(val vm: Vm, val ranksLast: Boolean, val score: Double)
}
