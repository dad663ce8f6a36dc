/*
 * The result of a request that is reported to its caller. Every refusal carries a verdict on whether the request may
 * have run. "Not run" is guaranteed: without proof of it the verdict is that the request may have run.
 */
@file:UseSerializers(DurationInNanos::class)

package cicadagauge.outcome

import cicadagauge.identity.DurationInNanos
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/** Whether a request may have run at an upstream. */
public enum class Verdict(public val code: String) {
    /** No upstream ran any part of the request; sending it again is safe. */
    NotRun("not-run"),

    /** An upstream may have run the request, partly or completely. */
    MayHaveRun("may-have-run"),

    /** An upstream's complete answer was sent to the caller. */
    Answered("answered"),
}

/**
 * Why a request was refused.
 *
 * @property code stable code of the reason, which is sent to the caller.
 * @property status HTTP status of the refusal.
 * @property verdict whether a request that is refused for this reason may have run.
 */
public enum class Reason(public val code: String, public val status: Int, public val verdict: Verdict) {
    BadRequest("bad-request", 400, Verdict.NotRun),
    BadDeadline("bad-deadline", 400, Verdict.NotRun),
    MissingKey("missing-routing-key", 400, Verdict.NotRun),
    BadKey("bad-routing-key", 400, Verdict.NotRun),
    Unauthenticated("unauthenticated", 401, Verdict.NotRun),
    NoRoute("no-route", 404, Verdict.NotRun),
    MethodNotAllowed("method-not-allowed", 405, Verdict.NotRun),
    BodyTooLarge("body-too-large", 413, Verdict.NotRun),
    BodyTooLargeMidway("body-too-large-midway", 413, Verdict.MayHaveRun),
    RateExceeded("rate-exceeded", 429, Verdict.NotRun),
    HeaderTooLarge("header-too-large", 431, Verdict.NotRun),
    NoConfiguration("no-configuration", 503, Verdict.NotRun),
    Overloaded("overloaded", 503, Verdict.NotRun),
    MemoryFull("memory-full", 503, Verdict.NotRun),
    UpstreamBusy("upstream-busy", 503, Verdict.NotRun),
    NoUpstream("no-upstream", 503, Verdict.NotRun),
    OwnerUnavailable("owner-unavailable", 503, Verdict.NotRun),
    CutOff("vm-without-upstreams", 503, Verdict.NotRun),
    ShuttingDown("shutting-down", 503, Verdict.NotRun),
    Quarantined("quarantined", 503, Verdict.NotRun),
    DeadlineBeforeRun("deadline-before-run", 503, Verdict.NotRun),
    DeadlineDuringRun("deadline-during-run", 504, Verdict.MayHaveRun),
    UpstreamBroke("upstream-broke", 502, Verdict.MayHaveRun),
}

/**
 * A refusal as it is sent to the caller.
 *
 * @property detail explanation of [reason] for the caller.
 * @property retryAfter time after which another attempt may succeed, or null.
 */
@Serializable
public data class Refusal(val reason: Reason, val detail: String, val retryAfter: Duration? = null)
