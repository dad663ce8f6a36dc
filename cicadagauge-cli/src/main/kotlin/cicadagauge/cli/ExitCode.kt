package cicadagauge.cli

/** What the process's exit code means. */
enum class ExitCode(val code: Int) {
    /** Done. */
    Ok(0),

    /** A promise was broken or a request was lost; the output says which. */
    Failed(1),

    /** The command line or a setting is wrong; nothing was done. */
    Usage(2),

    /** The declaration is not in order; nothing was done. */
    Invalid(3),

    /** Another operator was faster; nothing was done. */
    Conflict(4),

    /** The platform store did not answer. */
    Unavailable(5),
}
