package cicadagauge.dispatch

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
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
import cicadagauge.node.HomePolicy
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.Timers
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Refusal
import cicadagauge.outcome.Verdict
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

/** One VM that schedules its own requests ([HomePolicy.Local]), with one upstream. */
private class SingleVmFixture {
    private val effects = Effects()
    private val timers = Timers()
    private val zone = AvailabilityZone("a")
    private val vms = VmDirectory(VmId("vm"), zone, effects)
    private val pool = Pool(
        name = PoolName("p"),
        upstreams = listOf(Upstream(UpstreamId("u"), Address("u", 1), zone)),
        keyed = false,
    )
    private val settings = DispatchSettings(homes = HomePolicy.Local)
    private val quarantineSettings = QuarantineSettings()
    private val quarantine = RequestQuarantine(quarantineSettings, effects) { _, _ -> }
    private val reachability = UpstreamReachability(vms, ReachabilitySettings(), timers, effects) { _, _ -> }
    private val dispatcher = Dispatcher(
        vms = vms,
        owners = OwnerDirectory(),
        settings = settings,
        quarantine = quarantine,
        crashDetector = CrashDetector(quarantineSettings, quarantine, effects, reachability),
        reachability = reachability,
        timers = timers,
        effects = effects,
        coldUntil = { Moment.PAST },
    )
    private var now = Moment.ZERO
    private var refusal: Refusal? = null

    init {
        vms.update(listOf(Vm(vms.self, Address("vm", 1), Address("vm", 1), zone)), now)
        dispatcher.configure(Declaration(setOf(zone), listOf(pool), emptyList(), emptyList()), now)
    }

    /**
     * Sends a request whose first attempt ends with [outcome] and whose later attempts find the upstream unreachable;
     * returns the final refusal.
     */
    fun refusalOf(isIdempotent: Boolean, outcome: AttemptOutcome): Refusal? {
        val request = PendingRequest(
            id = RequestId(1),
            pool = pool,
            requestClass = RequestClass.Normal,
            idempotent = isIdempotent,
            customer = CustomerName("c"),
            slot = null,
            deadline = now + 300.milliseconds,
            head = HeadDigest(1),
            zoneSelector = dispatcher.homeDirectory.zoneSelectorFor(pool),
        )
        dispatcher.accept(request, now)
        var attempts = 0
        repeat(100) {
            for (effect in effects.take()) {
                if (effect is Effect.Refuse) refusal = effect.refusal
                val nextOutcome = if (attempts++ == 0) outcome else AttemptOutcome.NotRun(NotRunCause.Unreachable)
                if (effect is Effect.Forward) dispatcher.attemptEnded(request.id, nextOutcome, now)
            }
            now += 10.milliseconds
            timers.run(now)
        }
        return refusal
    }
}

class DispatcherTest :
    FunSpec({
        test("a request that reached no upstream is reported as not run") {
            val outcome = AttemptOutcome.NotRun(NotRunCause.Unreachable)
            val refusal = SingleVmFixture().refusalOf(isIdempotent = true, outcome)
            refusal?.reason?.verdict shouldBe Verdict.NotRun
        }

        test("a request that may have run is never reported as not run, even if its later attempts did not run") {
            val refusal = SingleVmFixture().refusalOf(isIdempotent = true, AttemptOutcome.Lost(timedOut = false))
            refusal?.reason?.verdict shouldBe Verdict.MayHaveRun
        }

        test("a request that is not idempotent is not retried once it may have run") {
            val refusal = SingleVmFixture().refusalOf(isIdempotent = false, AttemptOutcome.Lost(timedOut = false))
            refusal?.reason?.verdict shouldBe Verdict.MayHaveRun
        }
    })
