package cicadagauge.dispatch

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DispatchSettings
import cicadagauge.node.Effects
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A VM that relays to [homeCount] homes. Every 10 ms a request is relayed, and one that is answered ends. */
private class RelayLoad(homeCount: Int, private val silent: Set<VmId> = emptySet()) {
    private val effects = Effects()
    private val zone = AvailabilityZone("a")
    private val vms = VmDirectory(VmId("self"), zone, effects)
    private val settings = DispatchSettings()
    private val monitor = HomeMonitor(vms, settings)
    private val homes = List(homeCount) { VmId("home-$it") }
    private val running = ArrayDeque<Pair<VmId, Moment>>()
    private var now = Moment.ZERO
    private var relayed = 0

    /** The number of pings that were sent. */
    var pings = 0
        private set

    init {
        val all = (homes + vms.self).map { Vm(it, Address(it.value, 1), Address(it.value, 1), zone) }
        vms.update(all, now)
    }

    /** Runs for [duration] with responses that take [responseTime]. */
    fun run(duration: Duration, responseTime: Duration = 90.milliseconds) {
        val end = now + duration
        while (now < end) {
            now += TICK
            val home = homes[relayed++ % homes.size]
            monitor.recordRelay(home, now)
            running.addLast(home to now + responseTime)
            while (running.isNotEmpty() && running.first().second <= now) answer(running.removeFirst().first)
            if (relayed % TICKS_PER_CHECK == 0) monitor.checkHomes(now)
            pings += effects.take().size
        }
    }

    private fun answer(home: VmId) {
        if (home in silent) return
        vms.recordContact(home, now)
        monitor.recordRelayEnd(home, now)
    }

    fun isSuspected(home: VmId): Boolean = vms.isSuspectedOrLeaving(home)

    private companion object {
        val TICK = 10.milliseconds
        const val TICKS_PER_CHECK = 5
    }
}

class HomeMonitorTest :
    FunSpec({
        test("homes that answer are not pinged where many are in use, however rarely each is") {
            val load = RelayLoad(homeCount = 80)
            load.run(1.seconds)
            val pingsWhileFewWereInUse = load.pings
            load.run(10.seconds)
            load.pings shouldBe pingsWhileFewWereInUse
        }

        test("the number of pings does not grow with the number of homes") {
            val few = RelayLoad(homeCount = 40).apply { run(10.seconds, responseTime = 400.milliseconds) }
            val many = RelayLoad(homeCount = 400).apply { run(10.seconds, responseTime = 400.milliseconds) }
            many.pings shouldBeLessThanOrEqual few.pings * 11 / 10
        }

        test("a silent home among many is suspected") {
            val silent = VmId("home-7")
            val load = RelayLoad(homeCount = 80, silent = setOf(silent))
            load.run(1.seconds)
            load.isSuspected(silent) shouldBe true
            load.isSuspected(VmId("home-8")) shouldBe false
        }

        test("a home in a small fleet is pinged between requests, so that its loss is noticed before the next one") {
            val load = RelayLoad(homeCount = 8)
            load.run(1.seconds)
            (load.pings > 0) shouldBe true
        }
    })
