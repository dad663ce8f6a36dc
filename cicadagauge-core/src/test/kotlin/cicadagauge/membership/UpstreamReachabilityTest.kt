package cicadagauge.membership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.StateChange
import cicadagauge.node.Timers
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.peer.PeerMessage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A VM with two peers, and pools `p` and `q` with an upstream each in every zone. [stateOf] is what checks show. */
private class ReachabilityFixture(upstreamsPerPool: Int = 3, private val stateOf: (UpstreamId) -> UpstreamState) {
    private val effects = Effects()
    private val timers = Timers()
    private val zones = listOf("a", "b", "c").map(::AvailabilityZone)
    private val settings = ReachabilitySettings()
    private val self = VmId("vm-a")
    val peer = VmId("vm-b")
    val vms = VmDirectory(self, zones.first(), effects)
    val reachability = UpstreamReachability(vms, settings, timers, effects) { _, _ -> }
    var now = Moment.ZERO
    val checked = ArrayList<UpstreamId>()
    val changes = ArrayList<StateChange>()
    val announced = ArrayList<PeerMessage>()

    init {
        val list = zones.map { Vm(VmId("vm-${it.value}"), Address(it.value, 1), Address(it.value, 1), it) }
        vms.update(list, now)
        val pools = listOf("p", "q").take(upstreamsPerPool).map { name ->
            val upstreams = zones.take(upstreamsPerPool).map {
                Upstream(UpstreamId("$name-${it.value}"), Address("$name-${it.value}", 1), it)
            }
            Pool(name = PoolName(name), upstreams = upstreams, keyed = false)
        }
        reachability.configure(Declaration(zones.toSet(), pools, emptyList(), emptyList()))
    }

    fun fail(vararg upstreams: String) = upstreams.forEach { name ->
        val outcome = AttemptOutcome.NotRun(NotRunCause.Unreachable)
        reachability.requestSent(UpstreamId(name), now)
        reachability.attemptEnded(UpstreamId(name), now, outcome, now)
    }

    /** Lets [duration] pass; checks are answered at once. */
    fun pass(duration: Duration) {
        val end = now + duration
        while (now < end) {
            carryOut()
            now += 10.milliseconds
            timers.run(now)
        }
        carryOut()
    }

    private fun carryOut() {
        while (true) {
            val taken = effects.take()
            if (taken.isEmpty()) return
            taken.forEach(::carryOut)
        }
    }

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.CheckUpstream -> {
                checked += effect.upstream
                reachability.checked(effect.upstream, stateOf(effect.upstream), now)
            }
            is Effect.StateChanged -> changes += effect.change
            is Effect.SendPeer -> announced += effect.message
            else -> Unit
        }
    }
}

class UpstreamReachabilityTest :
    FunSpec({
        for (state in listOf(UpstreamState.Refusing, UpstreamState.Silent)) {
            test("a VM whose connections all fail reaches no upstream, and says so once: $state") {
                val fixture = ReachabilityFixture { state }
                fixture.fail("p-a", "q-a")
                fixture.pass(3.seconds)
                fixture.changes shouldBe listOf(StateChange.UpstreamsReached(false))
                fixture.vms.isBypassed() shouldBe true
                fixture.announced.distinct() shouldBe listOf(
                    PeerMessage.UpstreamsReached(reached = false, sequence = 1),
                    PeerMessage.UpstreamsReached(reached = false, sequence = 2),
                )
            }
        }

        test("one accepted connection shows that the upstreams that failed are at fault") {
            val fixture = ReachabilityFixture { id ->
                if (id == UpstreamId("q-c")) UpstreamState.Accepting else UpstreamState.Refusing
            }
            fixture.fail("p-a", "q-a")
            fixture.pass(100.milliseconds)
            fixture.changes.shouldBeEmpty()
        }

        test("while upstreams are down, other ones are tried no more than once a second") {
            val fixture = ReachabilityFixture { id ->
                if (id.value.startsWith("p")) UpstreamState.Silent else UpstreamState.Accepting
            }
            repeat(100) {
                fixture.fail("p-a", "p-b", "p-c")
                fixture.pass(100.milliseconds)
            }
            fixture.changes.shouldBeEmpty()
            fixture.checked.size shouldBeLessThanOrEqual 10
        }

        test("a single failure, and an old one, are no evidence") {
            val fixture = ReachabilityFixture { UpstreamState.Silent }
            fixture.fail("p-a")
            fixture.pass(2.seconds)
            fixture.fail("q-a")
            fixture.pass(2.seconds)
            fixture.checked.shouldBeEmpty()
        }

        test("a VM that is home of a single upstream notices that it reaches none") {
            val fixture = ReachabilityFixture { UpstreamState.Silent }
            fixture.fail("p-a")
            fixture.pass(500.milliseconds)
            fixture.fail("p-a")
            fixture.pass(100.milliseconds)
            fixture.changes shouldBe listOf(StateChange.UpstreamsReached(false))
        }

        test("a single upstream that is down costs no more than one connection a second") {
            val fixture = ReachabilityFixture { id ->
                if (id == UpstreamId("p-a")) UpstreamState.Silent else UpstreamState.Accepting
            }
            repeat(100) {
                fixture.fail("p-a")
                fixture.pass(100.milliseconds)
            }
            fixture.changes.shouldBeEmpty()
            fixture.checked.size shouldBeLessThanOrEqual 10
        }

        test("upstreams that all leave requests unanswered are checked within half a second") {
            val fixture = ReachabilityFixture { UpstreamState.Silent }
            listOf("p-a", "q-a").forEach { fixture.reachability.requestSent(UpstreamId(it), fixture.now) }
            fixture.pass(550.milliseconds)
            fixture.changes shouldBe listOf(StateChange.UpstreamsReached(false))
        }

        test("a request that ends early because its caller left is no evidence") {
            val fixture = ReachabilityFixture { UpstreamState.Silent }
            for (name in listOf("p-a", "q-a", "p-b")) {
                fixture.reachability.requestSent(UpstreamId(name), fixture.now)
                val outcome = AttemptOutcome.CallerGone(sent = true)
                fixture.reachability.attemptEnded(UpstreamId(name), fixture.now, outcome, fixture.now)
            }
            fixture.pass(2.seconds)
            fixture.checked.shouldBeEmpty()
        }

        test("a VM reaches upstreams again after two accepted connections in succession") {
            var state = UpstreamState.Refusing
            val fixture = ReachabilityFixture { state }
            fixture.fail("p-a", "q-a")
            fixture.pass(1.seconds)
            state = UpstreamState.Accepting
            fixture.pass(300.milliseconds)
            fixture.changes shouldBe listOf(StateChange.UpstreamsReached(false), StateChange.UpstreamsReached(true))
            fixture.vms.isBypassed() shouldBe false
            fixture.checked.clear()
            fixture.pass(5.seconds)
            fixture.checked.shouldBeEmpty()
        }

        test("a VM that loses its upstreams twice repeats only the later announcement") {
            var state = UpstreamState.Refusing
            val fixture = ReachabilityFixture { state }
            fixture.fail("p-a", "q-a")
            fixture.pass(200.milliseconds)
            state = UpstreamState.Accepting
            fixture.pass(900.milliseconds)
            state = UpstreamState.Refusing
            fixture.fail("p-a", "q-a")
            fixture.pass(1_800.milliseconds)
            fixture.announced.distinct().size shouldBe 3
        }

        test("no VM is bypassed where none reaches an upstream") {
            val fixture = ReachabilityFixture { UpstreamState.Refusing }
            fixture.fail("p-a", "q-a")
            fixture.pass(100.milliseconds)
            for (peer in fixture.vms.peers) {
                fixture.reachability.announced(peer.id, PeerMessage.UpstreamsReached(false, 1), fixture.now)
            }
            fixture.vms.isBypassed() shouldBe false
        }

        test("an announcement that overtakes a later one is ignored, and one that is not repeated expires") {
            val fixture = ReachabilityFixture { UpstreamState.Accepting }
            val reachability = fixture.reachability
            reachability.announced(fixture.peer, PeerMessage.UpstreamsReached(true, 2), fixture.now)
            reachability.announced(fixture.peer, PeerMessage.UpstreamsReached(false, 1), fixture.now)
            fixture.vms.isCutOff(fixture.peer) shouldBe false
            reachability.announced(fixture.peer, PeerMessage.UpstreamsReached(false, 3), fixture.now)
            fixture.vms.isCutOff(fixture.peer) shouldBe true
            fixture.vms.expireSuspicions(fixture.now + 5.seconds)
            fixture.vms.isCutOff(fixture.peer) shouldBe false
        }

        test("the only upstream there is shows nothing about the VM: its crash counts at once") {
            val fixture = ReachabilityFixture(upstreamsPerPool = 1) { UpstreamState.Refusing }
            var result: Boolean? = null
            fixture.reachability.check(fixture.now) { reaches, _ -> result = reaches }
            result shouldBe true
        }
    })
