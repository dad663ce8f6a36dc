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
import cicadagauge.peer.PermitResult
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
private class SchedulerFixture(
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
    val reservedAt = ArrayList<Moment>()
    private val scheduler = Scheduler(pool, owners, DispatchSettings(), this) { coldUntil }
    private var lastId = 0L

    init {
        scheduler.configure(pool, Declaration(emptySet(), listOf(pool), emptyList(), emptyList()), Moment.ZERO)
    }

    /** Puts every upstream in the state that [change] makes of it, with [zonesOut] out of service. */
    fun configure(now: Moment, zonesOut: Set<AvailabilityZone> = emptySet(), change: (Upstream) -> Upstream = { it }) {
        val changed = pool.copy(upstreams = upstreams.map(change))
        val declaration = Declaration(emptySet(), listOf(changed), emptyList(), emptyList(), zonesOut = zonesOut)
        scheduler.configure(changed, declaration, now)
    }

    override fun reserved(reservation: Reservation, upstream: UpstreamId, now: Moment) {
        reserved[reservation.id] = upstream
        reservedAt += now
    }

    /** Ends all requests that hold a permit as served. */
    fun serveAll(now: Moment) {
        val running = reserved.keys.toList()
        reserved.clear()
        running.forEach { releaseServed(it, 1.milliseconds, now) }
    }

    override fun denied(reservation: Reservation, refusal: Refusal, now: Moment) {
        denied[reservation.id] = refusal
    }

    fun submit(
        now: Moment,
        deadline: Duration = 500.milliseconds,
        target: Duration = deadline,
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
            inTimeBy = now + minOf(deadline, target),
            zone = ZONE.takeIf { slot == null },
            maySpill = maySpill,
            since = now,
        )
        scheduler.reserve(reservation, now)
        return reservation.id
    }

    fun releaseServed(id: RequestId, took: Duration, now: Moment, slowness: Double? = null) {
        scheduler.release(VM, PeerMessage.Release(pool.name, id, PermitResult.Served, took, slowness), now)
    }

    fun sweep(now: Moment) = scheduler.sweep(now)

    /** Serves [times] requests at every upstream, so that its average duration is [took]; returns the time after. */
    fun warmUp(took: Duration, times: Int = 40, slot: Slot? = null): Moment {
        var now = Moment.ZERO
        repeat(times) {
            val ids = upstreams.map { submit(now, slot = slot) }
            now += took
            ids.forEach { releaseServed(it, took, now) }
        }
        return now
    }
}

/** A record by which [owner] owns all slots. */
private fun record(owner: String, version: Long, isServed: Boolean) = OwnershipRecord(
    pool = PoolName("p"),
    term = Term(1),
    version = RecordVersion(version),
    allocator = VM,
    slots = 100,
    members = emptyList(),
    ranges = listOf(
        OwnedRange(
            slots = SlotRange(0, 99),
            owner = RangeOwner(UpstreamId(owner), null, Address(owner, 1)),
            fence = RecordVersion(version),
            isServed = isServed,
        ),
    ),
)

private fun ownedBy(owner: String) = OwnerDirectory().apply { adopt(record(owner, version = 1, isServed = true)) }

class SchedulerTest :
    FunSpec({
        // Guards against keys that are served without end by upstreams that are out of service, because they can't
        // move: all zones are out (EVAC), or the allocator is lost (DRAIN).
        data class Absence(val title: String, val serviceTime: Duration, val begin: SchedulerFixture.(Moment) -> Unit)

        val absences = listOf(
            Absence("drains", DispatchSettings().drainingServiceTime) { now ->
                configure(now) { it.copy(isDraining = true) }
            },
            Absence("has its zone taken out", DispatchSettings().takenOutServiceTime) { now ->
                configure(now, zonesOut = setOf(ZONE))
            },
        )
        for (absence in absences) {
            test(
                "an owner that ${absence.title} serves its keys for a limited time, then requests are denied at once",
            ) {
                val fixture = SchedulerFixture(count = 1, isKeyed = true, owners = ownedBy("u0"))
                val begin = fixture.warmUp(10.milliseconds, slot = Slot(5))
                absence.begin(fixture, begin)
                val before = fixture.submit(begin + absence.serviceTime - 1.milliseconds, slot = Slot(5))
                fixture.reserved[before] shouldBe UpstreamId("u0")
                val queued = List(3) { fixture.submit(begin + absence.serviceTime - 1.milliseconds, slot = Slot(5)) }
                fixture.sweep(begin + absence.serviceTime)
                fixture.denied[queued.last()]?.reason shouldBe Reason.NoUpstream
                val after = fixture.submit(begin + absence.serviceTime, slot = Slot(5))
                fixture.denied[after]?.reason shouldBe Reason.NoUpstream
                fixture.configure(begin + 10.seconds)
                fixture.reserved.keys.toList().forEach { fixture.releaseServed(it, 1.milliseconds, begin + 10.seconds) }
                val back = fixture.submit(begin + 10.seconds, slot = Slot(5))
                fixture.reserved[back] shouldBe UpstreamId("u0")
            }
        }

        test("a request that cannot end before its deadline is denied at once") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            val id = fixture.submit(now, deadline = 30.milliseconds)
            fixture.denied.getValue(id).reason shouldBe Reason.Overloaded
        }

        test("a queued request that can no longer be answered in time is denied, and the next one gets the permit") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            val running = listOf(fixture.submit(now), fixture.submit(now))
            val late = fixture.submit(now, deadline = 110.milliseconds)
            val next = fixture.submit(now)
            running.forEach { fixture.releaseServed(it, 90.milliseconds, now + 90.milliseconds) }
            fixture.denied.getValue(late).reason shouldBe Reason.DeadlineBeforeRun
            (next in fixture.reserved) shouldBe true
        }

        test("requests that wait for a stalled upstream are denied, with a time to retry after") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            repeat(2) { fixture.submit(now, deadline = 5.seconds) }
            val waiting = fixture.submit(now, deadline = 5.seconds)
            fixture.sweep(now + 300.milliseconds)
            (waiting in fixture.denied) shouldBe false
            fixture.sweep(now + 450.milliseconds)
            fixture.denied.getValue(waiting).reason shouldBe Reason.Overloaded
            (fixture.denied.getValue(waiting).retryAfter != null) shouldBe true
            val later = fixture.submit(now + 460.milliseconds, deadline = 5.seconds)
            (later in fixture.denied) shouldBe true
        }

        test("a single slow request does not make its upstream count as stalled") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            fixture.submit(now, deadline = 5.seconds)
            val next = fixture.submit(now + 1.seconds)
            (next in fixture.reserved) shouldBe true
        }

        test("an upstream that reports a slow host is chosen last") {
            val fixture = SchedulerFixture(count = 2)
            val now = fixture.warmUp(60.milliseconds)
            val first = fixture.submit(now)
            fixture.releaseServed(first, 60.milliseconds, now, slowness = 3.0)
            val slow = fixture.reserved.getValue(first)
            repeat(2) {
                fixture.reserved.getValue(fixture.submit(now)) shouldBe fixture.reserved.values.first { it != slow }
            }
            fixture.reserved.getValue(fixture.submit(now)) shouldBe slow
        }

        test("a request that can try another zone does not wait long in this one") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            repeat(4) { fixture.submit(now) }
            val id = fixture.submit(now, maySpill = true)
            fixture.denied.getValue(id).reason shouldBe Reason.Overloaded
            val final = fixture.submit(now, maySpill = false)
            (final in fixture.denied) shouldBe false
        }

        test("a cold upstream is not overloaded, even if two VMs act as its home at the same time") {
            val fixtures = List(2) { SchedulerFixture(count = 1, coldUntil = Moment.ZERO + 10.seconds) }
            var now = Moment.ZERO
            repeat(300) {
                fixtures.forEach { it.submit(now) }
                now += 10.milliseconds
                fixtures.forEach { it.sweep(now) }
                fixtures.forEach { it.serveAll(now) }
            }
            val reservedAt = fixtures.flatMap { it.reservedAt }
            reservedAt.size shouldBeGreaterThan 3 * 11
            // Operators allow 1.5 times the rate of 11 requests per second plus 5 requests in any second.
            val most = reservedAt.maxOf { start -> reservedAt.count { it >= start && it < start + 1.seconds } }
            most shouldBeLessThanOrEqual 21
        }

        test("requests that a cold upstream cannot take before their deadline are denied at once") {
            val fixture = SchedulerFixture(count = 1, coldUntil = Moment.ZERO + 10.seconds)
            val ids = (1..10).map { fixture.submit(Moment.ZERO, deadline = 500.milliseconds) }
            // Three quarters of 11 requests per second are four in 500 ms.
            ids.count { it in fixture.denied } shouldBe 6
            fixture.denied.values.all { (it.retryAfter ?: Duration.ZERO).isPositive() } shouldBe true
        }

        test("a request that is overtaken by too many others to be served in time is denied before its deadline") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            repeat(2) { fixture.submit(now) }
            val overtaken = fixture.submit(now, deadline = 300.milliseconds)
            (overtaken in fixture.denied) shouldBe false
            repeat(12) { fixture.submit(now, deadline = 1.seconds, requestClass = RequestClass.Urgent) }
            fixture.sweep(now + 10.milliseconds)
            fixture.denied.getValue(overtaken).reason shouldBe Reason.Overloaded
        }

        test("a request that can be answered in time goes before one that is late already") {
            val fixture = SchedulerFixture(count = 1)
            val now = fixture.warmUp(60.milliseconds)
            val running = List(2) { fixture.submit(now) }
            val late = fixture.submit(now, deadline = 1.seconds, target = Duration.ZERO)
            val timely = fixture.submit(now, deadline = 1.seconds, target = 300.milliseconds)
            fixture.releaseServed(running[0], 60.milliseconds, now)
            (timely in fixture.reserved) shouldBe true
            (late in fixture.reserved) shouldBe false
            (late in fixture.denied) shouldBe false
            fixture.releaseServed(running[1], 60.milliseconds, now)
            (late in fixture.reserved) shouldBe true
        }

        test("a request whose slot is moving to another owner waits for that owner, but not for long") {
            val owners = OwnerDirectory()
            val fixture = SchedulerFixture(count = 2, isKeyed = true, owners = owners)
            owners.adopt(record("u1", 1, isServed = false))
            val waits = fixture.submit(Moment.ZERO, deadline = 5.seconds, slot = Slot(7))
            fixture.sweep(Moment.ZERO + 600.milliseconds)
            fixture.denied.getValue(waits).reason shouldBe Reason.OwnerUnavailable
            owners.adopt(record("u1", 2, isServed = true))
            val served = fixture.submit(Moment.ZERO + 1.seconds, slot = Slot(7))
            fixture.reserved.getValue(served) shouldBe UpstreamId("u1")
        }
    })
