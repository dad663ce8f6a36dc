package cicadagauge.dispatch

import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.outcome.Verdict
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The refusals of admitted requests that can't be dispatched any further. */
internal object DispatchRefusals {
    private val RETRY_AFTER = 100.milliseconds
    private val OWNER_UNAVAILABLE =
        Refusal(Reason.OwnerUnavailable, "no upstream could take the request in time", RETRY_AFTER)
    private val UPSTREAM_BUSY = Refusal(Reason.UpstreamBusy, "the upstream has no free place", RETRY_AFTER)

    val UPSTREAM_NOT_DECLARED = Refusal(Reason.NoUpstream, "the upstream is not declared any more")
    val DEADLINE_DURING_RUN = Refusal(Reason.DeadlineDuringRun, "the deadline came while the request may have run")
    val DEADLINE_BEFORE_RUN =
        Refusal(Reason.DeadlineBeforeRun, "the deadline came before a place was free", RETRY_AFTER)
    val CUT_OFF = Refusal(Reason.CutOff, "this VM reaches no upstream, but others do", RETRY_AFTER)
    val SHUTTING_DOWN = Refusal(Reason.ShuttingDown, "this VM stops; others take the request at once", Duration.ZERO)
    val CONNECTION_BROKEN = Refusal(Reason.UpstreamBroke, "the connection broke while the request may have run")

    /** The refusal of a request that must not run for the next [remaining]. */
    fun quarantined(remaining: Duration) =
        Refusal(Reason.Quarantined, "upstreams have crashed while they ran this request", remaining)

    /**
     * [refusal] as [request] may be refused: never as not run if an earlier attempt may have run, however the last one
     * ended. It also says whether an upstream has rejected the request.
     */
    fun corrected(refusal: Refusal, request: PendingRequest): Refusal = when {
        request.runs > 0 && refusal.reason.verdict == Verdict.NotRun -> CONNECTION_BROKEN
        request.hasReachedUpstream && refusal.reason == Reason.Overloaded -> refusal.copy(reason = Reason.UpstreamBusy)
        request.hasReachedUpstream && refusal.reason == Reason.NoUpstream -> refusal.copy(reason = Reason.UpstreamBusy)
        else -> refusal
    }

    /** The refusal of a request whose last attempt did not run because of [cause]. */
    fun of(cause: NotRunCause): Refusal = when (cause) {
        NotRunCause.Busy -> UPSTREAM_BUSY
        NotRunCause.Unreachable, NotRunCause.NotOwner, NotRunCause.Draining, NotRunCause.BodyReleased ->
            OWNER_UNAVAILABLE
    }
}
