package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.UpstreamReachability
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.Event
import cicadagauge.node.HomePolicy
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.Timers
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.Reason
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One VM with five upstreams. Connections that are opened to check an upstream are accepted or refused by the test. */
private class CheckedUpstreams {
    private val effects = Effects()
    private val timers = Timers()
    private val zone = AvailabilityZone("a")
    private val vms = VmDirectory(VmId("vm"), zone, effects)
    private val pool = Pool(
        name = PoolName("p"),
        upstreams = List(5) { Upstream(UpstreamId("u$it"), Address("u$it", 1), zone) },
        keyed = false,
    )
    private val quarantineSettings = QuarantineSettings()
    private val quarantine = RequestQuarantine(quarantineSettings, effects) { _, _ -> }
    private val reachability = UpstreamReachability(vms, ReachabilitySettings(), timers, effects) { _, _ -> }
    private val crashDetector = CrashDetector(quarantineSettings, quarantine, effects, reachability)
    private val dispatcher = Dispatcher(
        vms = vms,
        owners = OwnerDirectory(),
        settings = DispatchSettings(homes = HomePolicy.Local),
        quarantine = quarantine,
        crashDetector = crashDetector,
        reachability = reachability,
        timers = timers,
        effects = effects,
        coldUntil = { Moment.PAST },
    )
    private var now = Moment.ZERO
    private var lastId = 0L
    private val crashed = HashSet<UpstreamId>()

    init {
        vms.update(listOf(Vm(vms.self, Address("vm", 1), Address("vm", 1), zone)), now)
        val declaration = Declaration(setOf(zone), listOf(pool), emptyList(), emptyList())
        dispatcher.configure(declaration, now)
        reachability.configure(declaration)
    }

    /** Dispatches a request with [body] and returns its id. Its body is read as soon as the dispatcher asks for it. */
    fun send(body: BodyDigest): RequestId {
        val request = PendingRequest(
            id = RequestId(++lastId),
            pool = pool,
            requestClass = RequestClass.Normal,
            idempotent = false,
            customer = CustomerName("c"),
            slot = null,
            deadline = now + 1.seconds,
            head = HeadDigest(1),
            zoneSelector = dispatcher.homeDirectory.zoneSelectorFor(pool),
        )
        dispatcher.accept(request, now)
        return request.id
    }

    /** Lets [duration] pass and returns what the dispatcher has decided since the last call. */
    fun decisions(duration: Duration = 20.milliseconds, bodies: Map<RequestId, BodyDigest>): List<Effect> {
        val decided = ArrayList<Effect>()
        repeat((duration / 1.milliseconds).toInt()) {
            val batch = effects.take()
            decided += batch
            for (effect in batch.filterIsInstance<Effect.AwaitBody>()) {
                dispatcher.bodyRead(effect.id, bodies.getValue(effect.id), now)
            }
            now += 1.milliseconds
            timers.run(now)
        }
        return decided + effects.take()
    }

    /** Ends the attempt of request [id] at [upstream], which crashes. */
    fun crash(id: RequestId, upstream: UpstreamId, body: BodyDigest) {
        crashed += upstream
        dispatcher.attemptEnded(Event.AttemptEnded(id, AttemptOutcome.Lost(timedOut = false), body), now)
    }

    /** Completes the checks among [decided], and those that follow from them; returns what was decided besides. */
    fun completeChecks(decided: List<Effect>, bodies: Map<RequestId, BodyDigest>): List<Effect> {
        val checks = decided.filterIsInstance<Effect.CheckUpstream>()
        if (checks.isEmpty()) return emptyList()
        for (check in checks) {
            val state = if (check.upstream in crashed) UpstreamState.Refusing else UpstreamState.Accepting
            reachability.checked(check.upstream, state, now)
            crashDetector.checked(check.upstream, state, now)
        }
        val next = decisions(bodies = bodies)
        return next + completeChecks(next, bodies)
    }
}

class PendingCrashCheckTest :
    FunSpec({
        test("a request waits while it is checked whether one with the same content has crashed an upstream") {
            val upstreams = CheckedUpstreams()
            val body = BodyDigest(1)
            val other = BodyDigest(2)
            val first = upstreams.send(body)
            val firstRun = upstreams.decisions(bodies = emptyMap()).filterIsInstance<Effect.Forward>().single()
            upstreams.crash(first, firstRun.upstream, body)
            val second = upstreams.send(body)
            val unrelated = upstreams.send(other)
            val bodies = mapOf(second to body, unrelated to other)
            val whileChecked = upstreams.decisions(bodies = bodies)
            whileChecked.filterIsInstance<Effect.Forward>().map { it.id } shouldBe listOf(unrelated)

            val afterCheck = upstreams.completeChecks(whileChecked, bodies)
            val secondRun = afterCheck.filterIsInstance<Effect.Forward>().single()
            secondRun.id shouldBe second
            upstreams.crash(second, secondRun.upstream, body)
            val third = upstreams.send(body)
            val checks = upstreams.decisions(bodies = bodies + (third to body))
            checks.filterIsInstance<Effect.Forward>().shouldBeEmpty()
            val refusal = upstreams.completeChecks(checks, bodies + (third to body)).filterIsInstance<Effect.Refuse>()
            refusal.map { it.id to it.refusal.reason } shouldBe listOf(third to Reason.Quarantined)
        }
    })
