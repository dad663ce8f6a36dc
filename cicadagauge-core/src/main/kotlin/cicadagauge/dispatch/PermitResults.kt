package cicadagauge.dispatch

import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.peer.PermitResult

/** What the home VM is told of attempts. */
internal object PermitResults {
    /** The result of an attempt that ended with [outcome]. */
    fun of(outcome: AttemptOutcome): PermitResult = when (outcome) {
        is AttemptOutcome.Answered -> PermitResult.Served
        is AttemptOutcome.Truncated, is AttemptOutcome.Lost -> PermitResult.Broken
        is AttemptOutcome.CallerGone, is AttemptOutcome.Refused -> PermitResult.Unused
        is AttemptOutcome.NotRun -> when (outcome.cause) {
            NotRunCause.Unreachable -> PermitResult.Unreachable
            NotRunCause.Busy -> PermitResult.Busy
            NotRunCause.NotOwner, NotRunCause.Draining -> PermitResult.Refused
            NotRunCause.BodyReleased -> PermitResult.Unused
        }
    }
}
