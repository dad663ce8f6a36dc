/*
 * Which VMs are entitled to a portion of the customers' rates. Either the declaration says how many seats there are, or
 * there is one for each VM that asks. A VM that has certainly gone gives its seat up, and a process that runs where
 * another one did takes that one's over. Seats are agreed by compare-and-swap in the store.
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

/** Obtains and keeps this VM's seat. [counted] is told whenever the number of seats changes. */
internal class SeatHolder(
    private val vms: VmDirectory,
    private val store: StoreClient,
    private val timers: Timers,
    private val settings: BudgetSettings,
    private val start: Moment,
    private val counted: (Moment) -> Unit,
) {
    private val waivers = settings.idleWaiver * (1 + 2 * settings.clockDrift)
    private val seenAt = HashMap<VmId, Moment>()
    private var declared: Int? = null
    private var holders = emptyList<Seat>()
    private var revision = StoreRevision.ABSENT
    private var seeking = false

    /** From when this VM may use its seat's portions: once nobody counts on the waivers of whoever had it before. */
    var usableFrom: Moment = Moment.FUTURE
        private set

    /** How many seats there are. */
    val count: Int get() = declared?.takeIf { it != DeclarationDefaults.ANY_VMS } ?: maxOf(1, holders.size)

    private val isOpen: Boolean get() = declared == DeclarationDefaults.ANY_VMS
    private val held: Boolean get() = usableFrom != Moment.FUTURE

    /** There are [seats] seats from now on, or one for each VM where it is [DeclarationDefaults.ANY_VMS]. */
    fun configure(seats: Int, now: Moment) {
        declared = seats
        seek(now)
    }

    /** The store says who has the seats. */
    fun changed(entry: StoreEntry, now: Moment) {
        if (entry.revision <= revision) return
        revision = entry.revision
        holders = holdersIn(entry)
        holders.forEach { seenAt.putIfAbsent(it.vm, now) }
        if (held && holders.none { it.vm == vms.self }) usableFrom = Moment.FUTURE
        if (isOpen) counted(now)
        seek(now)
    }

    private fun seek(now: Moment) {
        if (held || seeking || declared == null) return
        if (!vms.isListed()) return later(now + RETRY)
        seeking = true
        store.call(StoreCall.Get(StoreKeys.SEATS)) { reply, moment ->
            if (reply is StoreReply.Found) claim(reply.entry, moment) else finish(moment)
        }
    }

    private fun claim(entry: StoreEntry, now: Moment) {
        val known = holdersIn(entry)
        known.forEach { seenAt.putIfAbsent(it.vm, now) }
        val inherited = known.filter(::wasHere)
        if (inherited.isNotEmpty() && now < start + waivers) return finish(now, again = start + waivers)
        val live = known.filterNot { it in inherited || hasGone(it.vm, now) }
        if (live.any { it.vm == vms.self }) return taken(entry, now + waivers, now)
        if (!isOpen && live.size >= count) return finish(now)
        val text = (live + Seat(vms.self, vms.vm(vms.self)?.address)).joinToString(SEPARATOR)
        val isNew = live.size == known.size && (isOpen || known.size < count)
        val onlyInherited = inherited.isNotEmpty() && live.size + inherited.size == known.size
        store.call(StoreCall.Put(StoreKeys.SEATS, text, entry.revision)) { reply, moment ->
            when (reply) {
                is StoreReply.Written -> {
                    val stored = StoreEntry(StoreKeys.SEATS, text, reply.revision)
                    taken(stored, moment + if (onlyInherited) Duration.ZERO else usableAfter(isNew), moment)
                }
                is StoreReply.Conflict -> claim(reply.current, moment)
                else -> finish(moment)
            }
        }
    }

    /** A new seat makes the others smaller, which the other VMs must have learned first; an old one has its waivers. */
    private fun usableAfter(isNew: Boolean): Duration = when {
        !isNew -> waivers
        isOpen -> PROPAGATION
        else -> Duration.ZERO
    }

    /** Whether [seat] is that of an earlier process here; it stopped before this one's [start]. */
    private fun wasHere(seat: Seat): Boolean =
        seat.vm != vms.self && seat.address != null && seat.address == vms.vm(vms.self)?.address

    private fun hasGone(vm: VmId, now: Moment): Boolean =
        vm != vms.self && vms.isGone(vm, seenAt.getValue(vm), settings.seatLag, now)

    private fun taken(entry: StoreEntry, usable: Moment, now: Moment) {
        seeking = false
        usableFrom = usable
        changed(entry, now)
    }

    private fun finish(now: Moment, again: Moment = now + RETRY) {
        seeking = false
        later(again)
    }

    private fun later(again: Moment) {
        if (!held && !seeking) timers.at(again) { seek(it) }
    }

    /** A seat, and where its holder can be reached; null where an earlier version wrote the seat. */
    private data class Seat(val vm: VmId, val address: Address?) {
        override fun toString(): String = if (address == null) vm.value else "${vm.value}$AT$address"
    }

    private companion object {
        const val SEPARATOR = ","
        const val AT = "="
        val RETRY: Duration = 500.milliseconds
        val PROPAGATION: Duration = 1.seconds

        fun holdersIn(entry: StoreEntry): List<Seat> =
            entry.value.orEmpty().split(SEPARATOR).filter { it.isNotEmpty() }.map(::seatOf)

        fun seatOf(text: String): Seat {
            val address = text.substringAfter(AT, missingDelimiterValue = "")
            return Seat(VmId(text.substringBefore(AT)), Address.parse(address))
        }
    }
}
