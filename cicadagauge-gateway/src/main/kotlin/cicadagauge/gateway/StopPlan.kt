/*
 * The course of a planned stop. A stopping VM goes on accepting requests until load balancers direct callers elsewhere,
 * then finishes what it has accepted. Handing over its duties needs the store, which may not answer, so that runs
 * beside these phases and delays none of them but the end.
 */
package cicadagauge.gateway

import cicadagauge.identity.Moment
import kotlin.time.Duration

/** The phases of a planned stop, in their order. */
internal enum class StopPhase {
    /** Requests are still accepted, because load balancers may not have noticed that this VM is not ready. */
    Accepting,

    /** No further request is accepted; the open ones and the handover of duties go on. */
    Draining,

    /** Requests that still wait are refused, because what starts now could be cut off at the end. */
    Refusing,

    /** The process may end. */
    Ended,
}

/**
 * The plan of a stop that was requested at [start] and may take [limit]. Health checks and other VMs can learn of it
 * from [announced] on.
 */
internal class StopPlan(start: Moment, announced: Moment, limit: Duration, times: StopTimes) {
    private val acceptUntil = announced + times.drainDelay
    private val refuseFrom = start + maxOf(limit - times.answerReserve, Duration.ZERO)
    private val end = start + limit

    /** The phase at [now]. [isIdle] says whether no request is open and all duties are handed over. */
    fun phaseAt(now: Moment, isIdle: Boolean): StopPhase = when {
        now >= end -> StopPhase.Ended
        now < acceptUntil -> StopPhase.Accepting
        isIdle -> StopPhase.Ended
        now >= refuseFrom -> StopPhase.Refusing
        else -> StopPhase.Draining
    }
}
