/*
 * A pool without keys in three availability zones under virtual time. Callers' load rises and falls in waves that reach
 * the zones one after the other; many entry VMs choose zones at the same time; upstreams are of uneven speed and slow
 * for moments. Each zone's home counts exactly, as a Scheduler does.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.node.DispatchSettings
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.sin
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What callers saw and what it took.
 *
 * @property tries home VMs asked for each request
 * @property served share of the requests that ended before their deadline
 * @property idleWhileWaiting share of the permits that were free although a request waited for one, in whatever zone
 * @property lowUse the 10th part of the upstreams' requests in service over permits, and [highUse] the 90th
 */
internal data class ZoneOutcome(
    val inTime: Double,
    val served: Double,
    val tries: Double,
    val idleWhileWaiting: Double,
    val lowUse: Double,
    val highUse: Double,
) {
    override fun toString() = "in time %.3f, served %.3f, tries %.2f, idle while work waits %.4f, use %.2f to %.2f"
        .format(inTime, served, tries, idleWhileWaiting, lowUse, highUse)
}

internal class ZoneSimulation(
    private val utilization: Double,
    seed: Int,
    newsMaxAge: Duration = DispatchSettings().zoneNewsMaxAge,
) {
    // One sequence for each cause, so that runs with other settings meet the same load and the same slow moments.
    private val arrivals = List(3) { Random(seed * 10 + it) }
    private val slowMoments = Random(seed * 10 + 3)
    private val workOf = HashMap<RequestId, Double>()
    private val settings = DispatchSettings(zoneNewsMaxAge = newsMaxAge)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var eventCount = 0L
    private var now = Duration.ZERO
    private val zones = listOf("a", "b", "c").map(::AvailabilityZone)
    private val homes = zones.associateWith { Home() }
    private val entries = List(ENTRY_VMS) { ZoneNews(settings) }
    private val pool = Pool(PoolName("p"), emptyList(), keyed = false)
    private val numbers = LongArray(3)
    private var requests = 0
    private var tries = 0
    private var inTime = 0
    private var served = 0
    private var samples = 0
    private var idleShare = 0.0

    fun run(length: Duration): ZoneOutcome {
        zones.indices.forEach(::arrive)
        every(NOISE_INTERVAL) { upstreams().forEach { it.isSlow = slowMoments.nextDouble() < SLOW_SHARE } }
        every(SAMPLE_INTERVAL, ::sample)
        while (true) {
            val next = events.poll()?.takeIf { it.at <= length } ?: break
            now = next.at
            next.run()
        }
        val use = upstreams().map { it.busyTime / length / PERMITS }.sorted()
        return ZoneOutcome(
            inTime = inTime.toDouble() / requests,
            served = served.toDouble() / requests,
            tries = tries.toDouble() / requests,
            idleWhileWaiting = idleShare / samples,
            lowUse = use[use.size / 10],
            highUse = use[use.size * 9 / 10],
        )
    }

    private fun upstreams() = homes.values.flatMap { it.upstreams }

    private fun after(delay: Duration, run: () -> Unit) {
        events.add(Event(now + delay, eventCount++, run))
    }

    private fun every(interval: Duration, run: () -> Unit): Unit = after(interval) {
        run()
        every(interval, run)
    }

    private fun arrive(zoneIndex: Int) {
        val random = arrivals[zoneIndex]
        val wave = 1 + SWING * sin(2 * PI * (now / WAVE_PERIOD + zoneIndex / 3.0))
        val rate = utilization * homes.values.first().capacity * wave
        after((-ln(1 - random.nextDouble()) / rate).seconds) {
            requests++
            numbers[zoneIndex] += 3L
            val entry = entries[random.nextInt(ENTRY_VMS / 3) * 3 + zoneIndex]
            val others = (zones - zones[zoneIndex]).let { if (numbers[zoneIndex] % 2 == 0L) it else it.reversed() }
            val request = PendingRequest(
                id = RequestId(numbers[zoneIndex] + zoneIndex),
                pool = pool,
                requestClass = RequestClass.Normal,
                idempotent = true,
                customer = CustomerName("c"),
                slot = null,
                deadline = moment() + DEADLINE,
                head = HeadDigest(1),
                zoneSelector = ZoneSelector(listOf(zones[zoneIndex]) + others),
            )
            workOf[request.id] = 0.5 + random.nextDouble()
            entry.advise(request, moment())
            ask(entry, request, zones[zoneIndex])
            arrive(zoneIndex)
        }
    }

    private fun moment() = Moment(now.inWholeNanoseconds)

    private fun ask(entry: ZoneNews, request: PendingRequest, from: AvailabilityZone) {
        val zone = request.zoneSelector.zone ?: return
        val hop = if (zone == from) LOCAL_HOP else CROSS_HOP
        tries++
        after(hop) {
            val home = homes.getValue(zone)
            val wait = home.expectedWait()
            val isRefused = request.zoneSelector.maySpill && wait > settings.spillWait
            if (!isRefused && moment() + wait < request.deadline) {
                home.add(request)
            } else {
                after(hop) {
                    entry.refused(request, wait, moment())
                    if (request.zoneSelector.tryNext(wait)) ask(entry, request, from)
                }
            }
        }
    }

    private fun sample() {
        val permits = upstreams().size * PERMITS
        val idle = permits - upstreams().sumOf { it.running }
        samples++
        idleShare += minOf(idle, homes.values.sumOf { it.waitingCount }).toDouble() / permits
    }

    private class Event(val at: Duration, val number: Long, val run: () -> Unit)

    private class SimulatedUpstream(val speed: Double) {
        var running = 0
        var isSlow = false
        var busyTime = Duration.ZERO

        fun serviceTime() = WORK / speed * (if (isSlow) SLOWNESS else 1.0)
    }

    private inner class Home {
        val upstreams = List(UPSTREAMS_PER_ZONE) { SimulatedUpstream(SPEEDS[it % SPEEDS.size]) }
        private val waiting = ArrayDeque<PendingRequest>()
        val waitingCount get() = waiting.size

        /** Requests per second, slow moments included. */
        val capacity = upstreams.sumOf {
            PERMITS * it.speed / (WORK.toDouble(DurationUnit.SECONDS) * (1 + SLOW_SHARE * (SLOWNESS - 1)))
        }

        fun expectedWait(): Duration =
            if (freeUpstream() != null) Duration.ZERO else ((waiting.size + 0.5) / capacity).seconds

        fun add(request: PendingRequest) {
            waiting += request
            start()
        }

        private fun freeUpstream() = upstreams.filter { it.running < PERMITS }.minByOrNull { it.serviceTime() }

        private fun start() {
            while (true) {
                val upstream = freeUpstream() ?: return
                val request = waiting.removeFirstOrNull() ?: return
                if (moment() >= request.deadline) continue
                val time = upstream.serviceTime() * workOf.getValue(request.id)
                upstream.running++
                upstream.busyTime += time
                after(time) {
                    upstream.running--
                    if (moment() <= request.deadline - DEADLINE + AIM) inTime++
                    if (moment() <= request.deadline) served++
                    start()
                }
            }
        }
    }

    private companion object {
        const val ENTRY_VMS = 24
        const val UPSTREAMS_PER_ZONE = 33
        const val PERMITS = 2
        const val SWING = 0.3
        const val SLOW_SHARE = 0.2
        const val SLOWNESS = 3.0
        val SPEEDS = listOf(0.5, 1.0, 1.0, 1.5, 0.7, 1.6)
        val WORK = 120.milliseconds
        val WAVE_PERIOD = 11.seconds
        val NOISE_INTERVAL = 400.milliseconds
        val SAMPLE_INTERVAL = 10.milliseconds
        val LOCAL_HOP = 1.milliseconds
        val CROSS_HOP = 3.milliseconds
        val AIM = 640.milliseconds
        val DEADLINE = 1_590.milliseconds
    }
}
