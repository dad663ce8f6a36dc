/*
 * An upstream in small: a fixed number of places, a cold start during which it carries less, fenced grants and
 * draining. It reads no clock, so that it serves under sockets and under virtual time alike.
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

/** How an upstream behaves. While it is cold it has one place and takes [coldFactor] times as long. */
public data class UpstreamTraits(
    val id: UpstreamId,
    val pool: PoolName,
    val keyed: Boolean,
    val concurrency: Int = 2,
    val service: Duration = 5.milliseconds,
    val coldTime: Duration = 3.seconds,
    val coldFactor: Int = 2,
)

/** One run of an upstream. */
public class UpstreamModel(private val traits: UpstreamTraits, incarnation: Incarnation, private val started: Moment) {
    private val holder = LeaseHolder(traits.pool, traits.id, incarnation)
    private var coldUntil = started + traits.coldTime

    /** Requests that run now. */
    public var running: Int = 0
        private set

    /** Requests that ran to their end. */
    public var served: Long = 0
        private set

    /** Requests that came while every place was taken. */
    public var overloads: Long = 0
        private set

    /** How much slower than usual requests are served. */
    public var slowdown: Int = 1

    /** Handles a grant order. */
    public fun grant(order: GrantOrder, now: Moment): GrantReport = holder.handle(order, now)

    /** Takes no new work from now on, or takes it again. */
    public fun drain(draining: Boolean) {
        holder.draining = draining
    }

    /** Turns cold at [now], unannounced. */
    public fun turnCold(now: Moment) {
        coldUntil = now + traits.coldTime
    }

    /** Whether the upstream holds [slot] at [now]. */
    public fun owns(slot: Slot, now: Moment): Boolean = holder.canStart(slot, now)

    /** Starts a request for [slot], or says why it does not run. */
    public fun start(slot: Slot?, now: Moment): Start {
        if (traits.keyed && (slot == null || !holder.canStart(slot, now))) return Start.Refused(NotRunCause.NotOwner)
        if (holder.draining) return Start.Refused(NotRunCause.Draining)
        val cold = now < coldUntil
        if (running >= if (cold) 1 else traits.concurrency) {
            overloads++
            return Start.Refused(NotRunCause.Busy)
        }
        running++
        val takes = traits.service * slowdown * if (cold) traits.coldFactor else 1
        return Start.Runs(slot?.let(holder::begin), takes)
    }

    /** Ends a request; true where it took effect, false where the grant lapsed while it ran. */
    public fun finish(start: Start.Runs, now: Moment): Boolean {
        running--
        val run = start.run ?: return true.also { served++ }
        val effective = holder.canCommit(run, now)
        holder.end(run)
        if (effective) served++
        return effective
    }

    /** Whether a request runs. */
    public sealed interface Start {
        /** It runs and takes [duration]. */
        public data class Runs(val run: LeaseHolder.Run?, val duration: Duration) : Start

        /** It does not run. */
        public data class Refused(val cause: NotRunCause) : Start
    }
}
