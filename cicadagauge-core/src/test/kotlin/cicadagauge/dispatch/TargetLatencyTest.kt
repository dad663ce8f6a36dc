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
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What became of a load: fractions of all requests, and the time after which 9 in 10 of those refused knew it. */
private class LoadResult(val inTime: Double, val late: Double, val refused: Double, val timeToRefusal: Duration)

/** One upstream that runs two requests at a time, each for 40 to 90 ms, under virtual time. */
private class SingleUpstream(private val random: Random, private val target: Duration) : SchedulerOutput {
    private val zone = AvailabilityZone("a")
    private val upstream = Upstream(UpstreamId("u"), Address("u", 1), zone, concurrency = 2)
    private val pool = Pool(name = PoolName("p"), upstreams = listOf(upstream), keyed = false)
    private val scheduler = Scheduler(pool, OwnerDirectory(), DispatchSettings(), this)
    private val tasks = PriorityQueue<Task>(compareBy({ it.at.nanos }, { it.number }))
    private var now = Moment.ZERO
    private var taskCount = 0L
    private var inTime = 0
    private var late = 0
    private var refused = 0
    private val timesToRefusal = ArrayList<Duration>()
    private var settledAt = Moment.FUTURE

    init {
        scheduler.configure(pool, Declaration(emptySet(), listOf(pool), emptyList(), emptyList()), now)
    }

    /** Plays requests that arrive at [arrivals], after a few that let the scheduler learn the usual duration. */
    fun play(arrivals: List<Duration>): LoadResult {
        val warmUp = List(WARM_UP) { (it * 100).milliseconds }
        val start = 100.milliseconds * WARM_UP
        (
            warmUp + arrivals.map {
                it + start
            }
            ).forEachIndexed { index, offset -> at(Moment.ZERO + offset) { arrive(index) } }
        at(now) { sweep() }
        settledAt = Moment.ZERO + start + SETTLING_TIME
        val end = Moment.ZERO + start + arrivals.last() + DEADLINE
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            tasks.remove().let {
                now = it.at
                it.run()
            }
        }
        val count = arrivals.size.toDouble()
        val timeToRefusal = timesToRefusal.sorted().getOrElse(timesToRefusal.size * 9 / 10) { Duration.ZERO }
        return LoadResult((inTime - WARM_UP) / count, late / count, refused / count, timeToRefusal)
    }

    private fun arrive(index: Int) {
        val reservation = Reservation(
            entry = VmId("vm"),
            id = RequestId(index.toLong()),
            slot = null,
            requestClass = RequestClass.Normal,
            customer = CustomerName("c${index % 5}"),
            deadline = now + DEADLINE,
            wantedBy = now + target,
            zone = zone,
            maySpill = false,
            since = now,
        )
        scheduler.reserve(reservation, now)
    }

    private fun sweep() {
        scheduler.sweep(now)
        at(now + 10.milliseconds) { sweep() }
    }

    override fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment) {
        val took = (40 + random.nextInt(50)).milliseconds
        at(now + took) {
            if (this.now - reservation.since <= TARGET) inTime++ else late++
            val message = PeerMessage.Release(pool.name, reservation.id, PermitResult.Served, took, slowness = null)
            scheduler.release(reservation.entry, message, this.now)
        }
    }

    override fun denied(reservation: Reservation, refusal: Refusal, now: Moment) {
        refused++
        if (now >= settledAt) timesToRefusal += now - reservation.since
        check((refusal.retryAfter ?: Duration.ZERO).isPositive())
    }

    private fun at(moment: Moment, run: () -> Unit) {
        tasks.add(Task(moment, taskCount++, run))
    }

    private class Task(val at: Moment, val number: Long, val run: () -> Unit)

    companion object {
        val DEADLINE = 2.seconds
        val TARGET = 300.milliseconds
        private const val WARM_UP = 20

        /** After this time it is clear that a load lasts. */
        private val SETTLING_TIME = 5.seconds
    }
}

/** The times of [count] requests that arrive at random, [perSecond] on average. */
private fun randomArrivals(random: Random, perSecond: Double, count: Int): List<Duration> {
    var at = Duration.ZERO
    return List(count) { (at - ln(1 - random.nextDouble()).seconds / perSecond).also { at = it } }
}

/** Load patterns at one upstream that can serve some 30 requests per second; the callers want answers within 300 ms. */
class TargetLatencyTest :
    FunSpec({
        fun play(seed: Int, perSecond: Double, target: Duration = SingleUpstream.TARGET): LoadResult {
            val random = Random(seed)
            return SingleUpstream(random, target).play(randomArrivals(random, perSecond, count = 1_000))
        }

        for (seed in 1..10) {
            test("a key that is asked for 50 times a second is served in time as often as its owner can, seed $seed") {
                val result = play(seed, perSecond = 50.0)
                val single = play(seed, perSecond = 50.0, target = SingleUpstream.DEADLINE)
                withClue("in time ${result.inTime}, late ${result.late}; in a single queue ${single.inTime}") {
                    result.inTime shouldBeGreaterThan 0.5
                    result.late shouldBeLessThan 0.1
                    single.inTime shouldBeLessThan 0.1
                }
                (result.timeToRefusal <= SingleUpstream.TARGET) shouldBe true
            }

            test(
                "below what the owner can serve nothing is refused, and late requests are served as well, seed $seed",
            ) {
                val result = play(seed, perSecond = 20.0)
                withClue("in time ${result.inTime}, late ${result.late}, refused ${result.refused}") {
                    result.refused shouldBeLessThan 0.01
                    result.inTime shouldBeGreaterThan 0.9
                }
            }

            test("of a burst that comes at once, all are served, some of them late, seed $seed") {
                val burst = List(30) { it.milliseconds }
                val result = SingleUpstream(Random(seed), SingleUpstream.TARGET).play(burst)
                withClue("in time ${result.inTime}, late ${result.late}, refused ${result.refused}") {
                    (result.inTime + result.late) shouldBeGreaterThan 0.9
                }
            }
        }
    })
