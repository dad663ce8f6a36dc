/*
 * An in-memory model of an upstream: a concurrency limit, a cold start with reduced capacity, fenced slot grants and
 * draining. It reads no clock but is passed the current time, so that it runs behind sockets and in virtual time alike.
 */
package cicadagauge.standins.upstream

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.outcome.NotRunCause
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.LeaseHolder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How an upstream behaves.
 *
 * @property id the id to which grant orders are addressed
 * @property pool the pool that the upstream belongs to
 * @property keyed whether the upstream runs only requests for slots that it holds a grant for
 * @property concurrency how many requests the upstream runs at a time; a cold one runs one at a time
 * @property service how long a request takes at normal speed
 * @property coldTime how long the upstream is cold after its start
 * @property coldServiceFactor by how much the service time is multiplied while the upstream is cold
 */
public data class UpstreamSettings(
    val id: UpstreamId,
    val pool: PoolName,
    val keyed: Boolean,
    val concurrency: Int = 2,
    val service: Duration = 5.milliseconds,
    val coldTime: Duration = 3.seconds,
    val coldServiceFactor: Int = 2,
)

/**
 * One incarnation of an upstream, from its start until it ends; a restart makes a new one. Not safe for use by several
 * threads.
 */
public class UpstreamModel(
    private val settings: UpstreamSettings,
    incarnation: Incarnation,
    private val started: Moment,
) {
    private val holder = LeaseHolder(settings.pool, settings.id, incarnation)
    private var coldUntil = started + settings.coldTime

    /** Number of requests in progress. */
    public var running: Int = 0
        private set

    /** Number of requests that completed and took effect. */
    public var served: Long = 0
        private set

    /** Number of requests refused because the concurrency limit was reached. */
    public var overloads: Long = 0
        private set

    /** Factor by which the service time is multiplied; 1 is normal speed. */
    public var slowdown: Int = 1

    /** Applies [order] at [now] and reports the grants held afterwards. */
    public fun grant(order: GrantOrder, now: Moment): GrantReport = holder.handle(order, now)

    /** Refuses new requests while [draining] is true. */
    public fun setDraining(draining: Boolean) {
        holder.draining = draining
    }

    /** Starts another cold period at [now] without announcing it to the router. */
    public fun beginColdPeriod(now: Moment) {
        coldUntil = now + settings.coldTime
    }

    /** Whether the upstream holds a valid lease on [slot] at [now]. */
    public fun owns(slot: Slot, now: Moment): Boolean = holder.canStart(slot, now)

    /** Starts a request for [slot], null for a request without one, or returns why it does not run. */
    public fun start(slot: Slot?, now: Moment): StartResult {
        if (settings.keyed && (slot == null || !holder.canStart(slot, now))) {
            return StartResult.Refused(NotRunCause.NotOwner)
        }
        if (holder.draining) return StartResult.Refused(NotRunCause.Draining)
        val isCold = now < coldUntil
        if (running >= if (isCold) 1 else settings.concurrency) {
            overloads++
            return StartResult.Refused(NotRunCause.Busy)
        }
        running++
        val serviceTime = settings.service * slowdown * if (isCold) settings.coldServiceFactor else 1
        return StartResult.Started(slot?.let(holder::begin), serviceTime)
    }

    /** Ends a request and returns whether it took effect; false where the lease lapsed while the request ran. */
    public fun finish(start: StartResult.Started, now: Moment): Boolean {
        running--
        val run = start.run ?: return true.also { served++ }
        val effective = holder.canCommit(run, now)
        holder.end(run)
        if (effective) served++
        return effective
    }

    /** The result of starting a request. */
    public sealed interface StartResult {
        /** The request runs and takes [duration]; [run] is its record at the lease holder, null without a slot. */
        public data class Started(val run: LeaseHolder.Run?, val duration: Duration) : StartResult

        /** The request was refused and does not run. */
        public data class Refused(val cause: NotRunCause) : StartResult
    }
}
