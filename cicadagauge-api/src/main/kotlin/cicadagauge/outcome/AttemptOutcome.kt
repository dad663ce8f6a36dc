package cicadagauge.outcome

/** How one attempt to send a request ended, as observed by the I/O layer. */
public sealed interface AttemptOutcome {
    /**
     * The upstream's complete answer was sent to the caller.
     *
     * @property slowness how many times longer than usual work takes on the upstream's host at present: 1 is usual.
     * Null if the upstream does not report it.
     */
    public data class Answered(val status: Int, val slowness: Double? = null) : AttemptOutcome

    /** The upstream's answer, or the failure to connect, proves that the request did not run. */
    public data class NotRun(val cause: NotRunCause) : AttemptOutcome

    /** The home VM that the request was relayed to refused it, and makes no further attempt. */
    public data class Refused(val refusal: Refusal) : AttemptOutcome

    /** The connection broke or the deadline passed after the request was sent and before the answer began. */
    public data class Lost(val timedOut: Boolean) : AttemptOutcome

    /** The answer ended early, after a part of it had been sent to the caller. The caller's connection was closed. */
    public data class Truncated(val cause: TruncationCause) : AttemptOutcome

    /** The caller disconnected. [sent] is whether the request had been written to the upstream's connection. */
    public data class CallerGone(val sent: Boolean) : AttemptOutcome
}

/** Why it is certain that a request did not run. */
public enum class NotRunCause {
    /** No connection could be made, or no byte of the request was written. */
    Unreachable,

    /** The upstream holds no valid grant for the request's slot. */
    NotOwner,

    /** The upstream has no free capacity. */
    Busy,

    /** The upstream accepts no new requests. */
    Draining,

    /** A part of the request's body is no longer retained, so nothing was sent. */
    BodyReleased,
}

/** Why an answer ended early. */
public enum class TruncationCause {
    /** The upstream closed or reset the connection, or sent what can't be read. */
    ConnectionBroken,

    /** The upstream sent nothing for too long. */
    Stalled,

    /** The upstream went on sending for too long after the deadline. */
    Overdue,
}
