package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.Timers
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal const val SIMULATED_SLOTS = 64

/** The probabilities that an order is lost, or that it is carried out late and without an answer. */
internal class OrderFaults(val lost: Double = 0.0, val late: Double = 0.0)

/** An upstream that refuses grants with a fence below the highest one it has seen, and whose holds expire. */
internal class SimulatedUpstream(val number: Int) {
    private val highestFence = LongArray(SIMULATED_SLOTS)

    // For each slot, in ns of virtual time.
    private val heldUntil = LongArray(SIMULATED_SLOTS)
    var run = 1
    var isUp = true
    var isReachable = true

    /** Whether it refuses the allocators' connections, although it runs. */
    var refusesConnections = false

    /** Whether it is registered as leaving, so that it may not own slots. */
    var isDraining = false
    val registered
        get() = Upstream(
            id = UpstreamId("u$number"),
            address = Address("u$number", 1),
            zone = AvailabilityZone("a"),
            run = Incarnation("u$number-$run"),
            concurrency = 2,
        )

    /** Whether the upstream holds [slot] at [now] ns. */
    fun holds(slot: Int, now: Long): Boolean = isUp && heldUntil[slot] > now

    /** Carries out [order], which arrived at [arrival] ns; the upstream's clock is as slow as the protocol allows. */
    fun handle(order: RangeOrder, arrival: Long): RangeOrderOutcome {
        val slots = order.slots.first..order.slots.last
        return when (order) {
            is RangeOrder.Grant -> {
                if (slots.any { highestFence[it] > order.fence.value }) return RangeOrderOutcome.Superseded
                val end = arrival + (order.hold * SLOWEST_CLOCK_FACTOR).inWholeNanoseconds
                slots.forEach { highestFence[it] = order.fence.value }
                slots.forEach { heldUntil[it] = maxOf(heldUntil[it], end) }
                RangeOrderOutcome.Accepted()
            }
            is RangeOrder.Release -> {
                slots.forEach { highestFence[it] = maxOf(highestFence[it], order.fence.value) }
                slots.forEach { heldUntil[it] = 0 }
                RangeOrderOutcome.Accepted(HandoverToken("h"))
            }
        }
    }

    /** Ends the run and discards all state, as a crash does. */
    fun crash() {
        isUp = false
        highestFence.fill(0)
        heldUntil.fill(0)
    }

    fun restart() {
        run++
        isUp = true
    }

    private companion object {
        // 1 + RangeSettings.upstreamDrift
        const val SLOWEST_CLOCK_FACTOR = 1.02
    }
}

/** The pool's record in the store, which allocators replace by compare-and-swap on its version. */
internal class SimulatedStore {
    var record = OwnershipRecord(
        pool = PoolName("p"),
        term = Term.NONE,
        version = RecordVersion.NONE,
        allocator = VmId("vm-0"),
        slots = SIMULATED_SLOTS,
        members = emptyList(),
    )
    var isUp = true
}

/** Simulates allocators, upstreams and a store under virtual time, in nanoseconds. */
internal class RangeSimulation(seed: Int, var faults: OrderFaults = OrderFaults(), upstreamCount: Int = 4) {
    private val random = Random(seed)
    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.number }))
    private var nextTaskNumber = 0L
    private val settings = OwnershipSettings()
    val store = SimulatedStore()
    val upstreams = (0 until upstreamCount).map(::SimulatedUpstream)
    val allocators = ArrayList<SimulatedAllocator>()
    var now = 0L
        private set

    /** The greatest number of upstreams that held one slot at the same time. */
    var maxOwnersPerSlot = 0
        private set

    /** The number of slots that the stored record lists as served and that their owner holds now. */
    fun served(): Int = (0 until SIMULATED_SLOTS).count { slot ->
        val range = store.record.ranges.firstOrNull { slot in it.slots.first..it.slots.last && it.isServed }
        range != null && upstreams.any { it.registered.id == range.owner.upstream && it.holds(slot, now) }
    }

    fun after(delay: Duration, task: () -> Unit) {
        tasks.add(Task(now + delay.inWholeNanoseconds, nextTaskNumber++, task))
    }

    fun run(length: Duration) {
        val end = now + length.inWholeNanoseconds
        while (true) {
            val next = tasks.peek()?.takeIf { it.at <= end } ?: break
            tasks.remove()
            now = next.at
            next.run()
            updateMaxOwners()
        }
        now = end
    }

    /** Raises the term in the record and starts an allocator on another VM. */
    fun takeOver(): SimulatedAllocator {
        val before = store.record
        val version = before.version.next()
        val vm = VmId("vm-${allocators.size + 1}")
        store.record = before.copy(
            term = before.term.next(),
            version = version,
            allocator = vm,
            predecessors = if (before.term == Term.NONE) emptySet() else before.predecessors + before.allocator,
            ranges = before.ranges.map { it.copy(fence = version) },
        )
        return SimulatedAllocator(vm, store.record).also { allocators += it }
    }

    private fun updateMaxOwners() {
        for (slot in 0 until SIMULATED_SLOTS) {
            maxOwnersPerSlot = maxOf(maxOwnersPerSlot, upstreams.count { it.holds(slot, now) })
        }
    }

    private fun deliver(from: SimulatedAllocator, effect: Effect.SendRangeOrder) {
        val upstream = upstreams.first { it.registered.id == effect.owner.upstream }
        val timeout =
            if (effect.order is RangeOrder.Grant) settings.ranges.grantTimeout else settings.ranges.releaseTimeout
        if (upstream.refusesConnections || !upstream.isUp) {
            after(delay()) { from.receiveOutcome(effect.id, RangeOrderOutcome.Refused) }
            return
        }
        val isLost = random.nextDouble() < faults.lost || !upstream.isReachable
        val isLate = random.nextDouble() < faults.late
        if (isLost || isLate) after(timeout) { from.receiveOutcome(effect.id, RangeOrderOutcome.Unanswered) }
        if (isLost) return
        after(delay()) {
            val arrival = now
            val run = upstream.run
            when {
                isLate -> after(MAX_LATENESS * random.nextDouble()) {
                    if (upstream.isUp && upstream.run == run) upstream.handle(effect.order, arrival)
                }
                !upstream.isUp -> after(delay()) { from.receiveOutcome(effect.id, RangeOrderOutcome.Refused) }
                else -> {
                    val outcome = upstream.handle(effect.order, arrival)
                    after(delay()) { from.receiveOutcome(effect.id, outcome) }
                }
            }
        }
    }

    private fun delay() = 1.milliseconds * (1 + random.nextInt(5))

    private class Task(val at: Long, val number: Long, val run: () -> Unit)

    /** A VM with an allocator that can be paused and cut off from the store. */
    inner class SimulatedAllocator(private val vm: VmId, initial: OwnershipRecord) : AllocatorContext {
        private val effects = Effects()
        private val timers = Timers()
        private val orders = RangeOrders(effects)
        private val vms = VmDirectory(vm, AvailabilityZone("a"), effects)
        private var isPaused = false
        private val deferred = ArrayDeque<() -> Unit>()
        private var lastStoreAnswer = Moment(now)
        private var isStopped = false
        var reachesStore = true

        /** Whether it may renew grants: by a valid store lease or another VM's promise. */
        var isBacked = true

        private val pool get() = Pool(
            name = PoolName("p"),
            upstreams = upstreams.filter { it.isUp && !it.isDraining }.map { it.registered },
            slots = SIMULATED_SLOTS,
            placement = Placement.Ranges,
        )
        private val declaration get() = Declaration(emptySet(), listOf(pool), emptyList(), emptyList())
        private val allocator: RangeAllocator

        init {
            vms.update(listOf(Vm(vm, Address(vm.value, 1), Address(vm.value, 1), AvailabilityZone("a"))), Moment(now))
            allocator = RangeAllocator(
                pool = pool,
                declaration = declaration,
                initial = initial,
                vms = vms,
                settings = settings,
                timers = timers,
                orders = orders,
                effects = effects,
                context = this,
                start = Moment(now),
            )
            scheduleTick()
        }

        fun pause(length: Duration) {
            isPaused = true
            after(length) {
                isPaused = false
                while (deferred.isNotEmpty()) deferred.removeFirst()()
            }
        }

        /** Tells this allocator that [other] has stopped. */
        fun predecessorHasStopped(other: SimulatedAllocator) =
            runOrDefer { allocator.predecessorStopped(other.vm, Moment(now)) }

        /** Stops without telling other VMs, as a crash does. */
        fun crash() {
            isStopped = true
            allocator.stop()
        }

        fun receiveOutcome(id: RangeOrderId, outcome: RangeOrderOutcome) = runOrDefer {
            orders.outcomeReceived(id, outcome, Moment(now))
        }

        private fun scheduleTick() {
            after(5.milliseconds) {
                runOrDefer {
                    if (reachesStore && store.isUp) lastStoreAnswer = Moment(now)
                    allocator.configure(pool, declaration)
                    timers.run(Moment(now))
                }
                if (!isStopped) scheduleTick()
            }
        }

        private fun runOrDefer(task: () -> Unit) {
            if (isStopped) return
            if (isPaused) {
                deferred.addLast { runOrDefer(task) }
                return
            }
            task()
            effects.take().filterIsInstance<Effect.SendRangeOrder>().forEach { deliver(this, it) }
        }

        override fun confirmedSince(now: Moment): Moment? = Moment.ZERO.takeIf { reachesStore && store.isUp }

        override fun mayRenew(now: Moment): Boolean = isBacked

        override fun isStoreOut(now: Moment): Boolean = !reachesStore || !store.isUp

        override val storeAnsweredAt: Moment get() = lastStoreAnswer

        override fun write(record: OwnershipRecord, onResult: (saved: Boolean, now: Moment) -> Unit) {
            after(4.milliseconds) {
                runOrDefer {
                    val isNext = record.term == store.record.term && record.version == store.record.version.next()
                    val saved = reachesStore && store.isUp && isNext
                    if (saved) store.record = record
                    if (!saved && record.term < store.record.term) {
                        dutyLost(Moment(now))
                    } else {
                        onResult(saved, Moment(now))
                    }
                }
            }
        }

        override fun publish(record: OwnershipRecord, now: Moment) = Unit

        override fun dutyLost(now: Moment) = crash()
    }

    private companion object {
        val MAX_LATENESS = 4_000.milliseconds
    }
}
