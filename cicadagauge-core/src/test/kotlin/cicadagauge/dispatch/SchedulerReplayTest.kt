/*
 * Replays load on one pool in virtual time: six upstreams of uneven speed that become three times slower for moments,
 * and callers of two kinds, which return once after a refusal, as they are told.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.DispatchSettings
import cicadagauge.outcome.Refusal
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PermitResult
import cicadagauge.routing.OwnerDirectory
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val UPSTREAMS = 6
private const val PERMITS = 2
private val WORK = 90.milliseconds
private val TARGET = 600.milliseconds
private val DEADLINE = 1_500.milliseconds
private const val BULK_SHARE = 0.2
private val TICK = 5.milliseconds
private val SLOW_PERIOD = 400.milliseconds
private val ENTRY = VmId("vm")
private val HOME_ZONE = AvailabilityZone("a")

private class Caller(val requestClass: RequestClass, val sent: Moment, val attempt: Int)

/** What became of the callers; [heldToEnd] were refused after more than half of their patience. */
private class Outcomes {
    var offered = 0
    var inTime = 0
    var late = 0
    var refused = 0
    var refusedAgain = 0
    var heldToEnd = 0

    /** The share of the callers that were answered, where a late answer counts as three tenths. */
    val worth get() = (inTime + 0.3 * late) / offered

    override fun toString() = "offered $offered, in time $inTime, late $late, refused $refused, again $refusedAgain, " +
        "held to the end $heldToEnd"
}

private class Replay(seed: Long) : SchedulerOutput {
    private val random = Random(seed)
    private val tasks = PriorityQueue<Pair<Moment, () -> Unit>>(compareBy { it.first })
    private val upstreams = List(UPSTREAMS) { Upstream(UpstreamId("u$it"), Address("u$it", 1), HOME_ZONE) }
    private val pool = Pool(PoolName("p"), upstreams, concurrency = PERMITS)
    private val scheduler = Scheduler(pool, OwnerDirectory(), DispatchSettings(), this)
    private val slowUntil = HashMap<UpstreamId, Moment>()
    private val callers = HashMap<RequestId, Caller>()
    private var waiting = 0
    private var running = 0
    private var now = Moment.ZERO
    private var lastId = 0L
    val outcomes = HashMap<RequestClass, Outcomes>()

    /** The permit time that was unused while requests waited. */
    var idle = Duration.ZERO
        private set

    init {
        scheduler.configure(pool, Declaration(emptySet(), listOf(pool), emptyList(), emptyList()), now)
    }

    /** Sends [rates] of each class, in requests per second, for [time] each, and returns once all have ended. */
    fun play(time: Duration, vararg rates: Map<RequestClass, Double>): Replay {
        rates.forEachIndexed { phase, perClass ->
            perClass.forEach { (kind, rate) -> arrivals(time, phase, kind, rate) }
        }
        val end = Moment.ZERO + time * rates.size + 5.seconds
        for (tick in 0..(end - Moment.ZERO).inWholeMilliseconds step TICK.inWholeMilliseconds) {
            at(
                Moment.ZERO + tick.milliseconds,
            ) { tick() }
        }
        while (true) {
            val (moment, task) = tasks.poll() ?: return this
            now = moment
            task()
        }
    }

    private fun arrivals(time: Duration, phase: Int, kind: RequestClass, rate: Double) {
        var moment = Moment.ZERO + time * phase
        while (moment < Moment.ZERO + time * (phase + 1)) {
            moment += (-ln(1 - random.nextDouble()) / rate).seconds
            at(moment) {
                outcomes.getOrPut(kind) { Outcomes() }.offered++
                send(Caller(kind, now, attempt = 1))
            }
        }
    }

    private fun tick() {
        if (waiting > 0) {
            idle += TICK * (UPSTREAMS * PERMITS - running)
        }
        if (random.nextDouble() < TICK / SLOW_PERIOD) {
            upstreams.filter { random.nextDouble() < SLOW_SHARE }.forEach { slowUntil[it.id] = now + SLOW_PERIOD }
        }
        scheduler.sweep(now)
    }

    private fun send(caller: Caller) {
        val id = RequestId(++lastId)
        callers[id] = caller
        waiting++
        scheduler.reserve(
            Reservation(
                entry = ENTRY,
                id = id,
                slot = null,
                requestClass = caller.requestClass,
                customer = CustomerName("-"),
                deadline = caller.sent + DEADLINE,
                inTimeBy = caller.sent + TARGET,
                zone = HOME_ZONE,
                maySpill = false,
                since = now,
            ),
            now,
        )
    }

    override fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment) {
        waiting--
        running++
        val slowness = if ((slowUntil[upstream] ?: Moment.PAST) > now) 3.0 else 1.0
        val speed = SPEEDS[upstream.value.drop(1).toInt()]
        val duration = WORK * (slowness / speed) * (0.7 + 0.6 * random.nextDouble())
        val caller = callers.getValue(reservation.id)
        at(now + duration) {
            running--
            val outcome = outcomes.getValue(caller.requestClass)
            when {
                this.now <= caller.sent + TARGET -> outcome.inTime++
                this.now <= caller.sent + DEADLINE -> outcome.late++
            }
            val release = PeerMessage.Release(pool.name, reservation.id, PermitResult.Served, duration, slowness)
            scheduler.release(ENTRY, release, this.now)
        }
    }

    override fun denied(reservation: Reservation, refusal: Refusal, now: Moment) {
        waiting--
        val caller = callers.getValue(reservation.id)
        val outcome = outcomes.getValue(caller.requestClass)
        val left = caller.sent + DEADLINE - now
        outcome.refused++
        if (caller.attempt > 1) outcome.refusedAgain++
        if (now - reservation.since > DEADLINE / 2) outcome.heldToEnd++
        val wait = minOf(refusal.retryAfter ?: Duration.ZERO, left / 3)
        if (caller.attempt == 1) at(now + wait) { send(Caller(caller.requestClass, caller.sent, attempt = 2)) }
    }

    private fun at(moment: Moment, task: () -> Unit) {
        tasks += moment to task
    }

    companion object {
        const val SLOW_SHARE = 0.2
        val SPEEDS = listOf(0.5, 1.0, 1.0, 1.5, 1.0, 1.0)

        /** Requests per second that the pool serves with its upstreams at their average speed. */
        val CAPACITY = SPEEDS.sum() * PERMITS / WORK.toDouble(DurationUnit.SECONDS) / (1 + 2 * SLOW_SHARE)
    }
}

class SchedulerReplayTest :
    FunSpec({
        for (load in listOf(0.7, 1.0, 1.3, 2.5)) {
            for (seed in 1L..3L) {
                test("callers are answered in time at $load times the capacity (seed $seed)") {
                    val bulk = 0.7 * Replay.CAPACITY * BULK_SHARE
                    val replay = Replay(seed).play(
                        3.seconds,
                        mapOf(RequestClass.Normal to load * Replay.CAPACITY - bulk, RequestClass.Bulk to bulk),
                        mapOf(RequestClass.Normal to 0.7 * Replay.CAPACITY - bulk, RequestClass.Bulk to bulk),
                    )
                    println("load $load seed $seed ${replay.outcomes} idle while work waits ${replay.idle}")
                    val all = replay.outcomes.values
                    all.sumOf { it.late } shouldBeLessThanOrEqual all.sumOf { it.inTime } / 10
                    all.sumOf { it.heldToEnd } shouldBeLessThanOrEqual all.sumOf { it.offered } / 20
                    replay.idle shouldBeLessThan 3.seconds * UPSTREAMS * PERMITS / 10
                    val (normal, bulkOutcomes) = RequestClass.entries.drop(1).map(replay.outcomes::getValue)
                    bulkOutcomes.worth shouldBeGreaterThan 0.75 * normal.worth
                    if (load < 1.0) normal.worth shouldBeGreaterThan 0.95
                }
            }
        }
    })
