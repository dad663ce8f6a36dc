package cicadagauge.quarantine

import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.StateChange
import cicadagauge.node.UpstreamState
import cicadagauge.peer.CrashRecord
import cicadagauge.peer.CrashSuspicion
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private class QuarantineFixture(
    settings: QuarantineSettings = QuarantineSettings(),
    reachesUpstreams: Boolean = true,
) {
    val published = ArrayList<CrashSuspicion>()
    val effects = Effects()
    val quarantine = RequestQuarantine(settings, effects) { suspicion, _ -> published += suspicion }
    val detector = CrashDetector(settings, quarantine, effects) { now, onChecked -> onChecked(reachesUpstreams, now) }

    /** Lets the request with [fingerprint] crash the upstream [name], which then shows [state]. */
    fun crash(
        fingerprint: RequestFingerprint,
        name: String,
        now: Moment,
        state: UpstreamState = UpstreamState.Refusing,
    ) {
        val upstream = Upstream(UpstreamId(name), Address(name, 1), AvailabilityZone("a"))
        detector.connectionBroke(upstream, fingerprint, quarantine.recordOf(fingerprint, now))
        detector.checked(upstream.id, state, now)
    }
}

class RequestQuarantineTest :
    FunSpec({
        val customer = CustomerName("c")
        val request = RequestFingerprint(customer, HeadDigest(1), BodyDigest(2))
        val other = RequestFingerprint(customer, HeadDigest(1), BodyDigest(3))
        val peer = VmId("peer")
        val start = Moment.ZERO

        test("a request is refused after it has crashed two upstreams, one after the other") {
            val fixture = QuarantineFixture()
            fixture.crash(request, "u-1", start)
            fixture.quarantine.quarantineOf(request, start) shouldBe null
            fixture.crash(request, "u-2", start + 5.seconds)
            fixture.quarantine.quarantineOf(request, start + 5.seconds) shouldBe 10.minutes
            fixture.quarantine.quarantineOf(other, start + 5.seconds) shouldBe null
        }

        test("crashes at the same time count once") {
            val fixture = QuarantineFixture()
            val upstreams = listOf("u-1", "u-2").map {
                Upstream(UpstreamId(it), Address(it, 1), AvailabilityZone("a"))
            }
            upstreams.forEach { fixture.detector.connectionBroke(it, request, CrashRecord.NONE) }
            upstreams.forEach { fixture.detector.checked(it.id, UpstreamState.Refusing, start) }
            fixture.quarantine.recordOf(request, start).crashes shouldBe 1
        }

        test("no request is blamed for upstreams that refuse connections because this VM is cut off from all") {
            val fixture = QuarantineFixture(reachesUpstreams = false)
            repeat(3) { fixture.crash(request, "u-$it", start + it.seconds) }
            fixture.quarantine.quarantineOf(request, start + 3.seconds) shouldBe null
            fixture.published shouldBe emptyList()
            fixture.effects.take().filterIsInstance<Effect.StateChanged>() shouldBe emptyList()
        }

        test("an upstream that still accepts connections, or does not answer, has not crashed") {
            val fixture = QuarantineFixture()
            for (state in listOf(UpstreamState.Accepting, UpstreamState.Silent)) {
                repeat(3) { fixture.crash(request, "u-$it", start + it.seconds, state) }
            }
            fixture.quarantine.recordOf(request, start) shouldBe CrashRecord.NONE
            fixture.published shouldBe emptyList()
        }

        test("an answer clears a request, also on VMs that learn of an earlier crash later") {
            val fixture = QuarantineFixture()
            fixture.crash(request, "u-1", start)
            val suspicion = fixture.published.single()
            fixture.quarantine.answered(request, start)
            fixture.quarantine.adopt(listOf(suspicion), peer, start)
            fixture.crash(request, "u-2", start + 1.seconds)
            fixture.quarantine.quarantineOf(request, start + 1.seconds) shouldBe null
        }

        test("an answer to a request that nothing is known of publishes nothing") {
            val fixture = QuarantineFixture()
            fixture.quarantine.answered(request, start)
            fixture.published shouldBe emptyList()
        }

        test("crashes of many upstreams within a second are not ascribed to the requests that they ran") {
            val fixture = QuarantineFixture()
            fixture.crash(other, "u-1", start)
            fixture.crash(other, "u-2", start)
            fixture.crash(request, "u-3", start)
            fixture.quarantine.recordOf(request, start) shouldBe CrashRecord.NONE
            fixture.crash(request, "u-4", start + 2.seconds)
            fixture.quarantine.recordOf(request, start + 2.seconds).crashes shouldBe 1
        }

        test("what a peer knows is adopted once, in any order, and passed on") {
            val fixture = QuarantineFixture()
            val newer = CrashSuspicion(request, CrashRecord(generation = 0, crashes = 2), 5.minutes)
            val older = CrashSuspicion(request, CrashRecord(generation = 0, crashes = 1), 9.minutes)
            fixture.quarantine.adopt(listOf(newer, older, newer), peer, start)
            fixture.published shouldBe listOf(newer)
            fixture.quarantine.quarantineOf(request, start) shouldBe 5.minutes
            val changes = fixture.effects.take().map { (it as Effect.StateChanged).change }
            changes shouldBe listOf(StateChange.RequestQuarantined(request, true, newer.record, peer))
        }

        test("digests are equal if and only if two VMs know the same") {
            val (one, two) = listOf(QuarantineFixture(), QuarantineFixture())
            one.crash(request, "u-1", start)
            one.quarantine.digest(start) shouldNotBe two.quarantine.digest(start)
            two.quarantine.adopt(one.quarantine.suspicions(start), peer, start + 3.seconds)
            one.quarantine.digest(start) shouldBe two.quarantine.digest(start + 3.seconds)
        }

        test("the body is needed only for requests whose head is known, and records expire") {
            val fixture = QuarantineFixture()
            fixture.crash(request, "u-1", start)
            fixture.crash(request, "u-2", start)
            fixture.quarantine.needsBody(customer, request.head) shouldBe true
            fixture.quarantine.needsBody(CustomerName("d"), request.head) shouldBe false
            fixture.quarantine.quarantineOf(request, start + 10.minutes) shouldBe null
            fixture.quarantine.suspicions(start + 10.minutes) shouldBe emptyList()
            fixture.quarantine.needsBody(customer, request.head) shouldBe false
            fixture.quarantine.digest(start + 10.minutes) shouldBe 0
        }

        test("the oldest records are forgotten when there are too many") {
            val fixture = QuarantineFixture(QuarantineSettings(maxRecords = 3))
            for (number in 1L..5L) {
                val fingerprint = RequestFingerprint(customer, HeadDigest(number), BodyDigest(0))
                fixture.crash(fingerprint, "u", start + number.seconds)
            }
            fixture.quarantine.suspicions(start).map { it.fingerprint.head.value } shouldBe listOf(3L, 4L, 5L)
            fixture.quarantine.needsBody(customer, HeadDigest(1)) shouldBe false
        }
    })
