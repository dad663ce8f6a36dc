/*
 * A keyed pool under virtual time: Poisson arrivals over uneven keys, stretches of hot keys that change, upstreams of
 * uneven speed that are slow for moments, and a planner whose moves hold up the requests for the keys that they move.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The load of a [KeyedPoolSimulation].
 *
 * @property utilization the offered work relative to what all upstreams together finish, at their usual speeds
 * @property hotShare share of the requests that go to the [HOT_SLOTS] hot slots while a stretch is hot
 */
internal class KeyedLoad(
    val upstreamCount: Int,
    val concurrency: Int = 2,
    val utilization: Double = 0.55,
    val hotShare: Double = 0.35,
    val work: Duration = 90.milliseconds,
)

/** What callers saw, and what it took. [keysMoved] is relative to all keys, [busiest] to the mean capacity used. */
internal data class KeyedOutcome(val inTime: Double, val lost: Double, val busiest: Double, val keysMoved: Double) {
    override fun toString() = "in time %.3f, lost %.3f, busiest over mean %.2f, keys moved %.2f times".format(
        inTime,
        lost,
        busiest,
        keysMoved,
    )
}

/** Plays [load] against upstreams that own the ranges of a [RangePlanner]. */
internal class KeyedPoolSimulation(private val load: KeyedLoad, seed: Int) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var eventCount = 0L
    private var now = Duration.ZERO
    private val heat = RangeHeat(SLOTS, Moment.ZERO)
    private val planner = RangePlanner(SLOTS, heat)
    private val servers = (0 until load.upstreamCount).map(::Server)
    private val upstreams = servers.map { it.upstream }
    private val ownerOfSlot = arrayOfNulls<Server>(SLOTS)
    private val pausedUntil = HashMap<SlotRange, Duration>()
    private var ranges = emptyList<PlannedRange>()
    private var hotStart = -1
    private val reported = HashMap<Int, Int>()
    private var slotsMoved = 0
    private var requests = 0
    private var inTime = 0
    private var lost = 0

    /** Cumulative popularity of [POPULAR_STRETCHES] stretches of adjacent slots, outside hot times. */
    private val stretches = (1..POPULAR_STRETCHES).map { 1.0 / it.toDouble().pow(SKEW) }.let { weights ->
        val sum = weights.sum()
        weights.runningReduce(Double::plus).map { it / sum }
    }

    fun run(length: Duration): KeyedOutcome {
        plan()
        val rate = load.utilization * servers.sumOf { it.capacity }
        arrive(rate)
        every(REPORT_INTERVAL, ::report)
        every(PLAN_INTERVAL, ::plan)
        every(HOT_INTERVAL) { hotStart = if (hotStart < 0) random.nextInt(SLOTS - HOT_SLOTS) else -1 }
        every(NOISE_INTERVAL) { servers.forEach { it.isSlow = random.nextDouble() < SLOW_SHARE } }
        while (true) {
            val next = events.poll()?.takeIf { it.at <= length } ?: break
            now = next.at
            next.run()
        }
        val use = servers.map { it.arrivals / it.capacity }
        return KeyedOutcome(
            inTime = inTime.toDouble() / requests,
            lost = lost.toDouble() / requests,
            busiest = use.max() / use.average(),
            keysMoved = slotsMoved.toDouble() / SLOTS,
        )
    }

    private fun after(delay: Duration, run: () -> Unit) {
        events.add(Event(now + delay, eventCount++, run))
    }

    private fun every(interval: Duration, run: () -> Unit): Unit = after(interval) {
        run()
        every(interval, run)
    }

    private fun exponential() = -ln(1 - random.nextDouble())

    private fun arrive(rate: Double): Unit = after((exponential() / rate).seconds) {
        requests++
        val slot = nextSlot()
        reported.merge(slot / HeatBucket.SLOTS, 1, Int::plus)
        send(Request(slot, now))
        arrive(rate)
    }

    private fun nextSlot(): Int {
        if (hotStart >= 0 && random.nextDouble() < load.hotShare) return hotStart + random.nextInt(HOT_SLOTS)
        val point = random.nextDouble()
        val stretch = stretches.indexOfFirst { point < it }.coerceAtLeast(0)
        return stretch * (SLOTS / POPULAR_STRETCHES) + random.nextInt(SLOTS / POPULAR_STRETCHES)
    }

    /** Sends [request] to the owner of its slot, or later if its keys are being moved. */
    private fun send(request: Request) {
        val pause = pausedUntil.entries.firstOrNull { (range, until) ->
            until > now && request.slot in range.first..range.last
        }
        if (pause != null) return after(pause.value - now) { send(request) }
        val server = ownerOfSlot[request.slot] ?: return
        server.arrivals++
        server.waiting += request
        server.start()
    }

    private fun report() {
        val times = servers.filter { it.isMeasured }.map { UpstreamTime(it.upstream.id, it.averageTime) }
        heat.add(reported.map { (index, count) -> HeatBucket(index, count) }, times, Moment(now.inWholeNanoseconds))
        reported.clear()
    }

    private fun plan() {
        heat.decay(Moment(now.inWholeNanoseconds))
        pausedUntil.values.removeIf { it <= now }
        val current = ranges.map { range ->
            range.copy(
                isMovable = pausedUntil.keys.none {
                    it.first <= range.slots.last && range.slots.first <= it.last
                },
            )
        }
        ranges = planner.plan(current, upstreams)
        for (range in ranges) take(range)
    }

    /** Gives the slots of [range] that changed hands to their new owner; waiting requests follow once it has them. */
    private fun take(range: PlannedRange) {
        val server = servers.first { it.upstream.id == range.owner }
        val moved = (range.slots.first..range.slots.last).count { ownerOfSlot[it] !== server }
        val former = ownerOfSlot[range.slots.first]
        if (moved == 0) return
        for (slot in range.slots.first..range.slots.last) ownerOfSlot[slot] = server
        if (former == null) return
        slotsMoved += moved
        pausedUntil[range.slots] = now + MOVE_TIME
        val left = former.waiting.filter { it.slot in range.slots.first..range.slots.last }
        former.waiting.removeAll(left.toSet())
        left.forEach(::send)
    }

    private class Event(val at: Duration, val number: Long, val run: () -> Unit)

    private class Request(val slot: Int, val since: Duration)

    private inner class Server(number: Int) {
        val upstream = Upstream(
            id = UpstreamId("u$number"),
            address = Address("u$number", 1),
            zone = AvailabilityZone("a"),
            concurrency = load.concurrency,
        )
        private val speed = SPEEDS[number % SPEEDS.size]
        val waiting = ArrayDeque<Request>()
        private var running = 0
        var isSlow = false
        var arrivals = 0
        var isMeasured = false
        var averageTime = Duration.ZERO

        /** Requests per second at the usual speed, slow moments included. */
        val capacity =
            load.concurrency * speed / (load.work.toDouble(DurationUnit.SECONDS) * (1 + SLOW_SHARE * (SLOWNESS - 1)))

        fun start() {
            while (running < load.concurrency) {
                val request = waiting.removeFirstOrNull() ?: return
                if (now - request.since >= DEADLINE) {
                    lost++
                    continue
                }
                running++
                val spread = exp(SPREAD * gaussian() - SPREAD * SPREAD / 2)
                val time = load.work * (spread / speed * (if (isSlow) SLOWNESS else 1.0))
                after(time) { end(request, time) }
            }
        }

        private fun end(request: Request, time: Duration) {
            running--
            averageTime = if (isMeasured) averageTime * 0.9 + time * 0.1 else time
            isMeasured = true
            if (now - request.since <= AIM) {
                inTime++
            } else if (now - request.since > DEADLINE) {
                lost++
            }
            start()
        }

        private fun gaussian() = (1..12).sumOf { random.nextDouble() } - 6
    }

    companion object {
        const val SLOTS = 65_536
        const val HOT_SLOTS = 200
        private const val POPULAR_STRETCHES = 64
        private const val SKEW = 0.4
        private const val SLOW_SHARE = 0.2
        private const val SLOWNESS = 3.0
        private const val SPREAD = 0.3
        private val SPEEDS = listOf(0.5, 1.0, 1.0, 1.5, 0.7, 1.6)
        private val REPORT_INTERVAL = 500.milliseconds
        private val PLAN_INTERVAL = 500.milliseconds
        private val HOT_INTERVAL = 5.seconds
        private val NOISE_INTERVAL = 400.milliseconds
        private val MOVE_TIME = 150.milliseconds
        private val AIM = 600.milliseconds
        private val DEADLINE = 1_500.milliseconds
    }
}
