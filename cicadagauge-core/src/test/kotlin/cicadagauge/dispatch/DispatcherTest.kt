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
import cicadagauge.node.Event
import cicadagauge.node.HomePolicy
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.ReachabilitySettings
import cicadagauge.node.Timers
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.outcome.Verdict
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
    private var lastId = 0L

    /** The requests that were sent to the upstream, and the refusals of the others. */
    val forwarded = ArrayList<RequestId>()
    val refusals = HashMap<RequestId, Refusal>()

    init {
        vms.update(listOf(Vm(vms.self, Address("vm", 1), Address("vm", 1), zone)), now)
        dispatcher.configure(Declaration(setOf(zone), listOf(pool), emptyList(), emptyList()), now)
    }

    private fun request(isIdempotent: Boolean, deadline: Duration) = PendingRequest(
        id = RequestId(++lastId),
        pool = pool,
        requestClass = RequestClass.Normal,
        idempotent = isIdempotent,
        customer = CustomerName("c"),
        slot = null,
        deadline = now + deadline,
        head = HeadDigest(1),
        zoneSelector = dispatcher.homeDirectory.zoneSelectorFor(pool),
    )

    /** Sends [count] requests that the upstream doesn't answer; returns their ids. */
    fun send(count: Int): List<RequestId> = List(count) {
        request(isIdempotent = true, deadline = 10.seconds).also {
            dispatcher.accept(it, now)
            record()
        }.id
    }

    /** Lets the planned stop come to its end. */
    fun endStop() {
        dispatcher.refuseWaiting(now)
        record()
    }

    /** Ends the attempt of request [id] with [outcome] and lets a second pass. */
    fun endAttempt(id: RequestId, outcome: AttemptOutcome, isBodyRetained: Boolean = true) {
        dispatcher.attemptEnded(Event.AttemptEnded(id, outcome, isBodyRetained = isBodyRetained), now)
        repeat(100) {
            record()
            now += 10.milliseconds
            timers.run(now)
        }
    }

    private fun record() {
        for (effect in effects.take()) {
            if (effect is Effect.Forward) forwarded += effect.id
            if (effect is Effect.Refuse) refusals[effect.id] = effect.refusal
        }
    }

    /**
     * Sends a request whose first attempt ends with [outcome] and whose later attempts find the upstream unreachable;
     * returns the final refusal.
     */
    fun refusalOf(isIdempotent: Boolean, outcome: AttemptOutcome): Refusal? {
        val request = request(isIdempotent, deadline = 300.milliseconds)
        dispatcher.accept(request, now)
        var attempts = 0
        repeat(100) {
            for (effect in effects.take()) {
                if (effect is Effect.Refuse) refusal = effect.refusal
                val nextOutcome = if (attempts++ == 0) outcome else AttemptOutcome.NotRun(NotRunCause.Unreachable)
                if (effect is Effect.Forward) dispatcher.attemptEnded(Event.AttemptEnded(request.id, nextOutcome), now)
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

        val lastOutcomes = mapOf(
            AttemptOutcome.NotRun(NotRunCause.Busy) to Verdict.NotRun,
            AttemptOutcome.Lost(timedOut = false) to Verdict.MayHaveRun,
        )

        // Guards against requests that are sent again without the first part of their body (review case 1).
        for ((outcome, verdict) in lastOutcomes) {
            test("a request whose body is not retained is not sent again after $outcome") {
                val vm = SingleVmFixture()
                val id = vm.send(1).single()
                vm.endAttempt(id, outcome, isBodyRetained = false)
                vm.forwarded shouldBe listOf(id)
                vm.refusals[id]?.reason?.verdict shouldBe verdict
            }
        }

        // Guards against requests that are sent to an upstream so late in a planned stop that the end cuts them off.
        for ((outcome, verdict) in lastOutcomes) {
            test("at the end of a planned stop all requests that wait are refused, and none is sent after $outcome") {
                val vm = SingleVmFixture()
                val sent = vm.send(40)
                val running = vm.forwarded.toList()
                vm.endStop()
                running.shouldNotBeEmpty()
                vm.refusals.keys shouldBe sent.toSet() - running.toSet()
                vm.refusals.values.map { it.reason }.toSet() shouldBe setOf(Reason.ShuttingDown)
                vm.endAttempt(running.first(), outcome)
                vm.refusals[running.first()]?.reason?.verdict shouldBe verdict
                vm.send(1).forEach { vm.refusals[it]?.reason shouldBe Reason.ShuttingDown }
                vm.forwarded shouldBe running
            }
        }
    })
