/*
 * A seat entitles one VM to an equal portion of every customer's rate. Either the declaration says how many seats
 * there are, or there is one for each VM that claims one. The seat of a VM that has certainly stopped becomes free, and
 * a process that runs at the address of an earlier one takes over its seat. The list of holders is one value in the
 * store, changed by compare-and-swap.
 */
package cicadagauge.admission

import cicadagauge.declaration.DeclarationDefaults
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.BudgetSettings
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Claims and keeps this VM's seat. [onCountChanged] is called when the number of seats may have changed. */
internal class SeatHolder(
    private val vms: VmDirectory,
    private val store: StoreClient,
    private val timers: Timers,
    private val settings: BudgetSettings,
    private val start: Moment,
    private val onCountChanged: (Moment) -> Unit,
) {
    /** The longest time for which a waiver of an earlier holder may last on this VM's clock. */
    private val waiverBound = settings.idleWaiver * (1 + 2 * settings.clockDrift)
    private val firstSeenAt = HashMap<VmId, Moment>()
    private var declaredCount: Int? = null
    private var holders = emptyList<Seat>()
    private var revision = StoreRevision.ABSENT
    private var isClaiming = false

    // Whether seats that are known here may be missing in the store, since it has come back from an older copy.
    private var isRestoring = false

    /** From when this VM may use its seat: once the waivers of the seat's previous holder have expired everywhere. */
    var usableFrom: Moment = Moment.FUTURE
        private set

    /** The number of seats that the customers' rates are divided by. */
    val count: Int
        get() = declaredCount?.takeIf { it != DeclarationDefaults.DYNAMIC_ENTRY_VMS } ?: maxOf(1, holders.size)

    private val hasSeatPerVm: Boolean get() = declaredCount == DeclarationDefaults.DYNAMIC_ENTRY_VMS

    /** Whether this VM holds a seat. */
    val isHeld: Boolean get() = usableFrom != Moment.FUTURE

    /** Sets the number of seats; with [DeclarationDefaults.DYNAMIC_ENTRY_VMS] each VM that claims one gets its own. */
    fun configure(seats: Int, now: Moment) {
        declaredCount = seats
        claimIfNeeded(now)
    }

    /** Applies the list of seat holders that the store has at present. */
    fun seatsChanged(entry: StoreEntry, now: Moment) {
        if (entry.revision > revision) applySeats(entry, now)
    }

    /** Keeps the known seats, though the store may have lost some of them, and writes those again. */
    fun eraChanged() {
        revision = StoreRevision.ABSENT
        isRestoring = holders.isNotEmpty()
        restore()
    }

    private fun restore() {
        if (!isRestoring) return
        store.call(StoreCall.Get(StoreKeys.SEATS)) { reply, moment ->
            if (reply is StoreReply.Found) {
                applySeats(
                    reply.entry,
                    moment,
                )
            } else {
                timers.at(moment + RETRY_DELAY) { restore() }
            }
        }
    }

    private fun applySeats(entry: StoreEntry, now: Moment) {
        revision = entry.revision
        val stored = holdersIn(entry)
        holders = if (isRestoring) withLostSeats(stored, now) else stored
        if (holders == stored) isRestoring = false else writeAgain(entry)
        holders.forEach { firstSeenAt.putIfAbsent(it.vm, now) }
        if (isHeld && holders.none { it.vm == vms.self }) usableFrom = Moment.FUTURE
        if (hasSeatPerVm) onCountChanged(now)
        claimIfNeeded(now)
    }

    /**
     * The [stored] seats and those that the store has lost. Of two processes at one address only the later one has a
     * seat: the one in the store if it is new to this VM, the other one otherwise.
     */
    private fun withLostSeats(stored: List<Seat>, now: Moment): List<Seat> {
        val successors = stored.filter { it.vm !in firstSeenAt }.mapNotNull { it.address }
        val lost = holders.filter { seat ->
            stored.none { it.vm == seat.vm } && seat.address !in successors && !hasStopped(seat.vm, now)
        }
        val replaced = lost.mapNotNull { it.address }
        val all = stored.filter { it.address !in replaced } + lost
        return if (hasSeatPerVm) all else all.take(count)
    }

    private fun writeAgain(entry: StoreEntry) {
        val expect = if (entry.value == null) StoreRevision.ABSENT else entry.revision
        val text = holders.joinToString(SEAT_SEPARATOR)
        store.call(StoreCall.Put(StoreKeys.SEATS, text, expect)) { reply, now ->
            when (reply) {
                is StoreReply.Written -> isRestoring = false
                is StoreReply.Conflict -> applySeats(reply.current, now)
                else -> timers.at(now + RETRY_DELAY) { restore() }
            }
        }
    }

    private fun claimIfNeeded(now: Moment) {
        if (isHeld || isClaiming || declaredCount == null) return
        if (!vms.hasList()) return scheduleClaim(now + RETRY_DELAY)
        isClaiming = true
        store.call(StoreCall.Get(StoreKeys.SEATS)) { reply, moment ->
            if (reply is StoreReply.Found) claim(reply.entry, moment) else endClaim(moment)
        }
    }

    private fun claim(entry: StoreEntry, now: Moment) {
        val known = holdersIn(entry)
        known.forEach { firstSeenAt.putIfAbsent(it.vm, now) }
        val inherited = known.filter(::isFromEarlierProcess)
        if (inherited.isNotEmpty() && now < start + waiverBound) return endClaim(now, retryAt = start + waiverBound)
        val live = known.filterNot { it in inherited || hasStopped(it.vm, now) }
        if (live.any { it.vm == vms.self }) return useSeat(entry, now + waiverBound, now)
        if (!hasSeatPerVm && live.size >= count) return endClaim(now)
        val text = (live + Seat(vms.self, vms.vm(vms.self)?.address)).joinToString(SEAT_SEPARATOR)
        val isNew = live.size == known.size && (hasSeatPerVm || known.size < count)
        val onlyInherited = inherited.isNotEmpty() && live.size + inherited.size == known.size
        store.call(StoreCall.Put(StoreKeys.SEATS, text, entry.revision)) { reply, moment ->
            when (reply) {
                is StoreReply.Written -> {
                    val stored = StoreEntry(StoreKeys.SEATS, text, reply.revision)
                    // Waivers of earlier processes at this address have expired, since the claim waited for that.
                    useSeat(stored, moment + if (onlyInherited) Duration.ZERO else usableAfter(isNew), moment)
                }
                is StoreReply.Conflict -> claim(reply.current, moment)
                else -> endClaim(moment)
            }
        }
    }

    /**
     * The delay before a newly claimed seat may be used. An additional seat makes the other VMs' portions smaller, so
     * they must learn of it first. For a seat that had another holder, that holder's waivers must expire.
     */
    private fun usableAfter(isNew: Boolean): Duration = when {
        !isNew -> waiverBound
        hasSeatPerVm -> PROPAGATION_TIME
        else -> Duration.ZERO
    }

    /** Whether [seat] belongs to an earlier process at this VM's address, which stopped before [start]. */
    private fun isFromEarlierProcess(seat: Seat): Boolean =
        seat.vm != vms.self && seat.address != null && seat.address == vms.vm(vms.self)?.address

    private fun hasStopped(vm: VmId, now: Moment): Boolean =
        vm != vms.self && vms.isGone(vm, firstSeenAt.getValue(vm), settings.seatLag, now)

    private fun useSeat(entry: StoreEntry, usableAt: Moment, now: Moment) {
        isClaiming = false
        usableFrom = usableAt
        seatsChanged(entry, now)
    }

    private fun endClaim(now: Moment, retryAt: Moment = now + RETRY_DELAY) {
        isClaiming = false
        scheduleClaim(retryAt)
    }

    private fun scheduleClaim(retryAt: Moment) {
        if (!isHeld && !isClaiming) timers.at(retryAt) { claimIfNeeded(it) }
    }

    /** A seat's holder and its address; the address is null in a value that an earlier version wrote. */
    private data class Seat(val vm: VmId, val address: Address?) {
        override fun toString(): String = if (address == null) vm.value else "${vm.value}$ADDRESS_SEPARATOR$address"
    }

    private companion object {
        const val SEAT_SEPARATOR = ","
        const val ADDRESS_SEPARATOR = "="
        val RETRY_DELAY: Duration = 500.milliseconds
        val PROPAGATION_TIME: Duration = 1.seconds

        fun holdersIn(entry: StoreEntry): List<Seat> =
            entry.value.orEmpty().split(SEAT_SEPARATOR).filter { it.isNotEmpty() }.map(::seatOf)

        fun seatOf(text: String): Seat {
            val address = text.substringAfter(ADDRESS_SEPARATOR, missingDelimiterValue = "")
            return Seat(VmId(text.substringBefore(ADDRESS_SEPARATOR)), Address.parse(address))
        }
    }
}
