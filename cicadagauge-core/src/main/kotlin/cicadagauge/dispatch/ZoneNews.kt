/*
 * What this VM knows of the waits in other availability zones, without asking for it: a home VM that refuses a request
 * for lack of capacity says how long it would have waited. See docs/design/even-load.md.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RequestId
import cicadagauge.node.DispatchSettings
import kotlin.time.Duration

/**
 * The last waits that home VMs have told this VM, by pool, zone, class and customer, since these wait in one order. A
 * wait shrinks as the news gets older, twice as fast as time passes: requests that were ahead may have been refused
 * meanwhile, and upstreams that were slow may be faster. So a zone is left out for a shorter time than its work lasts.
 */
internal class ZoneNews(private val settings: DispatchSettings) {
    private val news = HashMap<Topic, News>()

    /** Notes that the home VM of the zone in which [request] was tried has refused it, with the expected [wait]. */
    fun refused(request: PendingRequest, wait: Duration, now: Moment) {
        val zone = request.zoneSelector.zone ?: return
        if (news.size >= MAX_TOPICS) news.values.removeIf { it.isOver(now) }
        if (news.size < MAX_TOPICS) news[topicOf(request, zone)] = News(wait, now)
    }

    /**
     * Lets [request] skip the zones in which it would wait for long. If that is so in all zones, it goes to one of them
     * at once and waits there. Returns what it was advised, or null if there is no news.
     */
    fun advise(request: PendingRequest, now: Moment): ZoneAdvice? {
        val selector = request.zoneSelector
        if (!selector.maySpill) return null
        val current = selector.zones.mapNotNull { zone ->
            news[topicOf(request, zone)]?.takeUnless { it.isOver(now) }?.let { zone to it }
        }.toMap()
        if (current.isEmpty()) return null
        val waits = current.mapValues { (_, it) -> it.waitAt(now) }
        val leastWaitZone = leastWaitZone(selector.zones.first(), waits, request.id)
        selector.leaveOut(waits.keys, leastWaitZone, waits.getValue(leastWaitZone))
        return ZoneAdvice(selector.zone, waits, oldest = current.values.maxOf { now - it.at })
    }

    /**
     * The zone of [waits] to wait in. The [first] zone unless another one is sooner by [DispatchSettings.crossingWait];
     * otherwise one at random, by the number of the request, the more likely the shorter its wait. VMs with the same
     * news thereby don't all choose the same zone.
     */
    private fun leastWaitZone(
        first: AvailabilityZone,
        waits: Map<AvailabilityZone, Duration>,
        number: RequestId,
    ): AvailabilityZone {
        val shortest = waits.values.min()
        val firstWait = waits[first] ?: Duration.INFINITE
        if (firstWait <= shortest + settings.crossingWait) return first
        val weights = waits.filterValues { it <= shortest * MAX_WAIT_RATIO }.mapValues { (_, wait) -> shortest / wait }
        var point = fractionOf(number) * weights.values.sum()
        return weights.entries.firstOrNull { (_, weight) ->
            point -= weight
            point < 0
        }?.key ?: weights.keys.last()
    }

    /** A number in 0..1 that looks random in a sequence of requests. */
    private fun fractionOf(number: RequestId): Double = (number.value * SCATTER ushr SHIFT) / RANGE

    private fun topicOf(request: PendingRequest, zone: AvailabilityZone) =
        Topic(request.pool.name, zone, request.requestClass, request.customer)

    private fun News.isOver(now: Moment) = now - at >= settings.zoneNewsMaxAge || waitAt(now) <= settings.spillWait

    private data class Topic(
        val pool: PoolName,
        val zone: AvailabilityZone,
        val requestClass: RequestClass,
        val customer: CustomerName,
    )

    private class News(private val wait: Duration, val at: Moment) {
        fun waitAt(now: Moment): Duration = wait - (now - at) * DRAIN_FACTOR
    }

    private companion object {
        const val MAX_TOPICS = 10_000

        /** How much faster than expected the work that waits in a zone may end. */
        const val DRAIN_FACTOR = 2

        /** How much longer than the shortest wait another zone's may be for a request to go there. */
        const val MAX_WAIT_RATIO = 1.5

        // Fibonacci hashing: the upper bits of the product with 2^64 divided by the golden ratio.
        const val SCATTER = -7_046_029_254_386_353_131L
        const val SHIFT = 11
        const val RANGE = 9_007_199_254_740_992.0
    }
}

/** A request goes to [zone] first, because of the expected [waits] in others; the [oldest] of this news is this old. */
internal class ZoneAdvice(
    val zone: AvailabilityZone?,
    val waits: Map<AvailabilityZone, Duration>,
    val oldest: Duration,
)
