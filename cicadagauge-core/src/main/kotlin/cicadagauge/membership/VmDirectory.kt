/*
 * The entry VMs, as the platform lists them. The list lags, so a VM that doesn't answer is suspected here for a
 * while and ranks last; the list alone says that a VM is gone for good.
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
 * What one VM knows of all VMs, [self] included. A VM that is listed no longer has certainly stopped once it has been
 * missing for [absence].
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

    /** Whether a list was ever received. */
    fun isListed(): Boolean = vms.isNotEmpty()

    /** Since when the platform lists this VM itself; never before it does. */
    var selfListedSince: Moment = Moment.FUTURE
        private set

    /** Whether the platform lists [vm]. */
    fun isListed(vm: VmId): Boolean = vm in vms

    /**
     * Whether [vm], which was running at [aliveAt], has certainly gone at [now]: it was listed and is no longer, or it
     * has not shown on the list for longer than the list's [lag].
     */
    fun isGone(vm: VmId, aliveAt: Moment, lag: Duration, now: Moment): Boolean {
        if (vm in vms || vms.isEmpty()) return false
        if (isReplaced(vm)) return true
        val missing = missingSince[vm]
        return (missing != null && missing + absence <= now) || (aliveAt + lag <= now && updatedAt + lag > now)
    }

    /** Whether another process runs now where [vm] did. */
    private fun isReplaced(vm: VmId): Boolean {
        val address = lastKnown[vm]?.address ?: return false
        return all.any { it.id != vm && it.address == address }
    }

    /** Whether VMs of more than one availability zone were ever listed. */
    val hasSeveralZones: Boolean get() = lastKnown.values.any { it.zone != zone }

    /**
     * The VMs whose promises may back what [vm] renews without the store, and that may be running still. Those of its
     * own availability zone don't count where it relies on [elsewhere] only. Null where [vm] was never listed here.
     */
    fun backersOf(vm: VmId, elsewhere: Boolean, aliveAt: Moment, lag: Duration, now: Moment): List<Vm>? {
        val ownZone = lastKnown[vm]?.zone ?: return null
        return lastKnown.values.filter { other ->
            val mayCount = !elsewhere || other.zone != ownZone
            mayCount && other.id != vm && other.id != self && !isGone(other.id, aliveAt, lag, now)
        }
    }

    /** When the platform's list was last received. */
    var updatedAt: Moment = Moment.PAST
        private set

    /** The VM called [id], or null where it is not listed. */
    fun vm(id: VmId): Vm? = vms[id]

    /** Takes the platform's list over; a list that says nothing new costs next to nothing. */
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

    /** The VM that is responsible for [duty], one of [zone] if there is any; null before a list was received. */
    fun responsible(duty: String, zone: AvailabilityZone? = null): Vm? = responsible.getOrPut(duty) {
        all.minWithOrNull(compareBy({ isLast(it) }, { zone != null && it.zone != zone }, { score(duty, it.id) }))
            ?: return null
    }

    /** The VMs in the order in which they are responsible for [duty]: leaving and suspected ones last. */
    fun ranked(duty: String): List<Vm> = rankings.getOrPut(duty) {
        val scored = all.map { Ranked(it, isLast(it), score(duty, it.id)) }
        scored.sortedWith(compareBy({ it.last }, { it.score })).map { it.vm }
    }

    /** Ranks [vm] last from now on, because it has said that it stops. */
    fun depart(vm: VmId) {
        if (departing.add(vm)) forgetRankings()
    }

    /** Ranks [vm] last until [until], because it doesn't answer. */
    fun suspect(vm: VmId, until: Moment) {
        if (vm == self) return
        if (suspects.put(vm, until) == null) forgetRankings()
    }

    /** Whether [vm] is suspected or about to go. */
    fun isDoubtful(vm: VmId): Boolean = vms[vm]?.let(::isLast) ?: true

    /** Ends suspicions that have run out at [now]. */
    fun forgive(now: Moment) {
        if (suspects.values.removeIf { it <= now }) forgetRankings()
    }

    /** When [vm] last said something. */
    fun lastHeard(vm: VmId): Moment = heard[vm] ?: Moment.PAST

    /** Notes that [vm] has said something at [now]. */
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
