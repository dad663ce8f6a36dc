package cicadagauge.cli

/** The exit codes of the process. */
enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    Ok(0),

    /** The command failed, a guarantee was broken or a request was lost; the output gives the cause. */
    Failed(1),

    /** An argument or a setting is invalid; nothing was changed. */
    Usage(2),

    /** The declaration is invalid or missing; nothing was changed. */
    Invalid(3),

    /** Another operator changed the declaration first; nothing was changed. */
    Conflict(4),

    /** The platform store or a VM did not answer. */
    Unavailable(5),
}
