package cicadagauge.admission

import cicadagauge.declaration.DeclarationDefaults
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.BudgetSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** A store that holds only the list of seat holders and supports compare-and-swap. */
private class SeatStore {
    var entry = StoreEntry(StoreKeys.SEATS, null, StoreRevision.ABSENT)
    private var revision = 0L

    fun handle(call: StoreCall): StoreReply = when (call) {
        is StoreCall.Put -> put(call)
        else -> StoreReply.Found(entry)
    }

    private fun put(call: StoreCall.Put): StoreReply {
        if (call.expect != entry.revision) return StoreReply.Conflict(entry)
        entry = StoreEntry(StoreKeys.SEATS, call.value, StoreRevision(++revision))
        return StoreReply.Written(entry.revision)
    }
}

private fun vm(id: String, address: String = id) =
    Vm(VmId(id), Address(address, 1), Address(address, 2), AvailabilityZone("a"))

/** One VM with its own [SeatHolder]; the VMs in [seenBefore] were listed earlier but no longer are. */
private class SeatFixture(self: Vm, seenBefore: List<Vm>, private val shared: SeatStore) {
    private val effects = Effects()
    private val store = StoreClient(effects)
    private val timers = Timers()
    private val vms = VmDirectory(self.id, self.zone, effects, absenceTimeout = 15.seconds)
    val holder = SeatHolder(vms, store, timers, BudgetSettings(seatLag = 15.seconds), start = Moment.ZERO) {}
    private var now = Moment.ZERO

    init {
        vms.update(seenBefore + self, now)
        vms.update(listOf(self), now)
        holder.configure(DeclarationDefaults.DYNAMIC_ENTRY_VMS, now)
        run()
    }

    fun run(): Moment {
        now += 1.seconds
        timers.run(now)
        while (true) {
            val calls = effects.take().filterIsInstance<Effect.CallStore>().ifEmpty { break }
            calls.forEach { store.replied(it.id, shared.handle(it.call), now) }
        }
        return now
    }

    /** Lets the VM know that the store has come back from an older copy. */
    fun eraChanged() {
        holder.eraChanged()
        run()
    }

    /** Delivers the current list of seat holders, as the watch of the store does. */
    fun deliverSeats(): Unit = holder.seatsChanged(shared.entry, now)
}

class SeatHolderTest :
    FunSpec({
        test("there are as many seats as VMs that have claimed one, and each VM learns of the others") {
            val store = SeatStore()
            val seats = listOf("a", "b", "c").map { SeatFixture(vm(it), emptyList(), store) }
            seats.forEach { it.deliverSeats() }
            seats.map { it.holder.count } shouldBe listOf(3, 3, 3)
        }

        test("a new seat is used only after the other VMs have had time to reduce their portions") {
            val store = SeatStore()
            val seat = SeatFixture(vm("a"), emptyList(), store)
            (seat.holder.usableFrom >= Moment.ZERO + 2.seconds) shouldBe true
        }

        test("a VM that is not listed keeps its seat until it has certainly stopped") {
            val store = SeatStore()
            SeatFixture(vm("a"), emptyList(), store)
            val second = SeatFixture(vm("b"), emptyList(), store)
            second.deliverSeats()
            second.holder.count shouldBe 2
        }

        test("a process at the address of an earlier one takes over its seat") {
            val store = SeatStore()
            val first = vm("a@1", address = "a")
            SeatFixture(first, emptyList(), store)
            val next = SeatFixture(vm("a@2", address = "a"), seenBefore = listOf(first), shared = store)
            repeat(3) { next.run() }
            next.deliverSeats()
            next.holder.count shouldBe 1
        }

        test("seats of processes that were never listed are taken over by the processes now at their addresses") {
            val store = SeatStore()
            val names = listOf("a", "b", "c")
            names.forEach { SeatFixture(vm("$it@1", address = it), emptyList(), store) }
            val restarted = names.map { SeatFixture(vm("$it@2", address = it), emptyList(), store) }
            repeat(3) { restarted.forEach { it.run() } }
            restarted.forEach { it.deliverSeats() }
            restarted.map { it.holder.count } shouldBe listOf(3, 3, 3)
        }

        test("a seat that was taken over is used once the waivers of the earlier process have expired") {
            val store = SeatStore()
            SeatFixture(vm("a@1", address = "a"), emptyList(), store)
            val next = SeatFixture(vm("a@2", address = "a"), emptyList(), store)
            next.holder.usableFrom shouldBe Moment.FUTURE
            repeat(3) { next.run() }
            (next.holder.usableFrom <= Moment.ZERO + 4.seconds) shouldBe true
        }

        test("a seat that an earlier version wrote has no address and is kept") {
            val store = SeatStore()
            store.entry = StoreEntry(StoreKeys.SEATS, "a,b", StoreRevision.ABSENT)
            val seat = SeatFixture(vm("c"), emptyList(), store)
            seat.deliverSeats()
            seat.holder.count shouldBe 3
        }

        test("seats that the store has lost are kept and written again") {
            val store = SeatStore()
            val seats = listOf("a", "b", "c").map { SeatFixture(vm(it), emptyList(), store) }
            seats.forEach { it.deliverSeats() }
            val usableFrom = seats.map { it.holder.usableFrom }
            store.entry = store.entry.copy(value = "a", revision = StoreRevision(1))
            seats.forEach { it.eraChanged() }
            seats.forEach { it.deliverSeats() }
            store.entry.value.orEmpty().split(",").map { it.substringBefore("=") }.toSet() shouldBe setOf("a", "b", "c")
            seats.map { it.holder.count } shouldBe listOf(3, 3, 3)
            seats.map { it.holder.usableFrom } shouldBe usableFrom
        }

        test("a process that has taken over a seat keeps it where the store has lost that") {
            val store = SeatStore()
            SeatFixture(vm("a@1", address = "a"), emptyList(), store)
            val copy = store.entry
            val next = SeatFixture(vm("a@2", address = "a"), emptyList(), store)
            repeat(3) { next.run() }
            store.entry = copy
            next.eraChanged()
            store.entry.value shouldBe "a@2=a:1"
            next.holder.count shouldBe 1
        }

        test("a VM whose seat was given to another stops using it") {
            val store = SeatStore()
            val seat = SeatFixture(vm("a"), emptyList(), store)
            store.entry = store.entry.copy(value = "b", revision = StoreRevision(99))
            seat.deliverSeats()
            seat.holder.usableFrom shouldBe Moment.FUTURE
        }
    })
