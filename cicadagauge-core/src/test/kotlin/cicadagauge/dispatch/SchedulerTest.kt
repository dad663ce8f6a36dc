package cicadagauge.dispatch

import cicadagauge.declaration.ColdStart
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.DispatchSettings
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.OwnedRange
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.RangeOwner
import cicadagauge.ownership.SlotRange
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PlaceResult
import cicadagauge.routing.OwnerDirectory
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val VM = VmId("vm")
private val ZONE = AvailabilityZone("a")

/** A scheduler over [count] upstreams with a concurrency of two each, which records its decisions. */
private class Home(
    count: Int,
    isKeyed: Boolean = false,
    coldUntil: Moment = Moment.PAST,
    private val owners: OwnerDirectory = OwnerDirectory(),
) : SchedulerOutput {
    private val upstreams = (0 until count).map {
        Upstream(UpstreamId("u$it"), Address("u$it", 1), ZONE, concurrency = 2)
    }
    private val pool = Pool(
        name = PoolName("p"),
        upstreams = upstreams,
        keyed = isKeyed,
        slots = 100,
        placement = Placement.Ranges,
        coldStart = ColdStart(ratePerSecond = 11.0),
    )
    val reserved = LinkedHashMap<RequestId, UpstreamId>()
    val denied = LinkedHashMap<RequestId, Refusal>()

    /** When requests were granted permits. */
    val begunAt = ArrayList<Moment>()
    private val scheduler = Scheduler(pool, owners, DispatchSettings(), this) { coldUntil }
    private var lastId = 0L

    init {
        scheduler.configure(pool, Declaration(emptySet(), listOf(pool), emptyList(), emptyList()), Moment.ZERO)
    }

    override fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment) {
        reserved[reservation.id] = upstream
        begunAt += now
    }

    /** Ends all requests that hold a permit as served. */
    fun finish(now: Moment) {
        val running = reserved.keys.toList()
        reserved.clear()
        running.forEach { served(it, 1.milliseconds, now) }
    }

    override fun denied(reservation: Reservation, refusal: Refusal, now: Moment) {
        denied[reservation.id] = refusal
    }

    fun ask(
        now: Moment,
        deadline: Duration = 500.milliseconds,
        slot: Slot? = null,
        maySpill: Boolean = false,
        requestClass: RequestClass = RequestClass.Normal,
    ): RequestId {
        val reservation = Reservation(
            entry = VM,
            id = RequestId(++lastId),
            slot = slot,
            requestClass = requestClass,
            customer = CustomerName("c"),
            deadline = now + deadline,
            zone = ZONE.takeIf { slot == null },
            maySpill = maySpill,
            since = now,
        )
        scheduler.reserve(reservation, now)
        return reservation.id
    }

    fun served(id: RequestId, took: Duration, now: Moment, slowness: Double? = null) {
        scheduler.release(VM, PeerMessage.Release(pool.name, id, PlaceResult.Served, took, slowness), now)
    }

    fun sweep(now: Moment) = scheduler.sweep(now)

    /** Serves [times] requests at every upstream, so that its average duration is [took]. */
    fun warmUp(took: Duration, times: Int = 40): Moment {
        var now = Moment.ZERO
        repeat(times) {
            val ids = upstreams.map { ask(now) }
            now += took
            ids.forEach { served(it, took, now) }
        }
        return now
    }
}

class SchedulerTest :
    FunSpec({
        test("a request that cannot end before its deadline is denied at once") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            val id = home.ask(now, deadline = 30.milliseconds)
            home.denied.getValue(id).reason shouldBe Reason.Overloaded
        }

        test("a queued request that can no longer be answered in time is denied, and the next one gets the permit") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            val running = listOf(home.ask(now), home.ask(now))
            val late = home.ask(now, deadline = 110.milliseconds)
            val next = home.ask(now)
            running.forEach { home.served(it, 90.milliseconds, now + 90.milliseconds) }
            home.denied.getValue(late).reason shouldBe Reason.DeadlineBeforeRun
            (next in home.reserved) shouldBe true
        }

        test("requests that wait for a stalled upstream are denied, with a time to retry after") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            repeat(2) { home.ask(now, deadline = 5.seconds) }
            val waiting = home.ask(now, deadline = 5.seconds)
            home.sweep(now + 300.milliseconds)
            (waiting in home.denied) shouldBe false
            home.sweep(now + 450.milliseconds)
            home.denied.getValue(waiting).reason shouldBe Reason.Overloaded
            (home.denied.getValue(waiting).retryAfter != null) shouldBe true
            val later = home.ask(now + 460.milliseconds, deadline = 5.seconds)
            (later in home.denied) shouldBe true
        }

        test("a single slow request does not make its upstream count as stalled") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            home.ask(now, deadline = 5.seconds)
            val next = home.ask(now + 1.seconds)
            (next in home.reserved) shouldBe true
        }

        test("an upstream that reports a slow machine is chosen last") {
            val home = Home(count = 2)
            val now = home.warmUp(60.milliseconds)
            val first = home.ask(now)
            home.served(first, 60.milliseconds, now, slowness = 3.0)
            val slow = home.reserved.getValue(first)
            repeat(2) { home.reserved.getValue(home.ask(now)) shouldBe home.reserved.values.first { it != slow } }
            home.reserved.getValue(home.ask(now)) shouldBe slow
        }

        test("a request that can try another zone does not wait long in this one") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            repeat(4) { home.ask(now) }
            val id = home.ask(now, maySpill = true)
            home.denied.getValue(id).reason shouldBe Reason.Overloaded
            val final = home.ask(now, maySpill = false)
            (final in home.denied) shouldBe false
        }

        test("a cold upstream is not overloaded, even if two VMs act as its home at the same time") {
            val homes = List(2) { Home(count = 1, coldUntil = Moment.ZERO + 10.seconds) }
            var now = Moment.ZERO
            repeat(300) {
                homes.forEach { it.ask(now) }
                now += 10.milliseconds
                homes.forEach { it.sweep(now) }
                homes.forEach { it.finish(now) }
            }
            val begunAt = homes.flatMap { it.begunAt }
            begunAt.size shouldBeGreaterThan 3 * 11
            // Operators allow 1.5 times the rate of 11 requests per second plus 5 requests in any second.
            val most = begunAt.maxOf { start -> begunAt.count { it >= start && it < start + 1.seconds } }
            most shouldBeLessThanOrEqual 21
        }

        test("requests that a cold upstream cannot take before their deadline are denied at once") {
            val home = Home(count = 1, coldUntil = Moment.ZERO + 10.seconds)
            val ids = (1..10).map { home.ask(Moment.ZERO, deadline = 500.milliseconds) }
            // Three quarters of 11 requests per second are four in 500 ms.
            ids.count { it in home.denied } shouldBe 6
            home.denied.values.all { (it.retryAfter ?: Duration.ZERO).isPositive() } shouldBe true
        }

        test("a request that is overtaken by too many others to be served in time is denied before its deadline") {
            val home = Home(count = 1)
            val now = home.warmUp(60.milliseconds)
            repeat(2) { home.ask(now) }
            val overtaken = home.ask(now, deadline = 300.milliseconds)
            (overtaken in home.denied) shouldBe false
            repeat(12) { home.ask(now, deadline = 1.seconds, requestClass = RequestClass.Urgent) }
            home.sweep(now + 10.milliseconds)
            home.denied.getValue(overtaken).reason shouldBe Reason.Overloaded
        }

        test("a request whose slot is moving to another owner waits for that owner, but not for long") {
            val owners = OwnerDirectory()
            val home = Home(count = 2, isKeyed = true, owners = owners)
            fun record(version: Long, isServed: Boolean) = OwnershipRecord(
                pool = PoolName("p"),
                term = Term(1),
                version = RecordVersion(version),
                allocator = VM,
                slots = 100,
                members = emptyList(),
                ranges = listOf(
                    OwnedRange(
                        slots = SlotRange(0, 99),
                        owner = RangeOwner(UpstreamId("u1"), null, Address("u1", 1)),
                        fence = RecordVersion(version),
                        isServed = isServed,
                    ),
                ),
            )
            owners.adopt(record(1, isServed = false))
            val waits = home.ask(Moment.ZERO, deadline = 5.seconds, slot = Slot(7))
            home.sweep(Moment.ZERO + 600.milliseconds)
            home.denied.getValue(waits).reason shouldBe Reason.OwnerUnavailable
            owners.adopt(record(2, isServed = true))
            val served = home.ask(Moment.ZERO + 1.seconds, slot = Slot(7))
            home.reserved.getValue(served) shouldBe UpstreamId("u1")
        }
    })
