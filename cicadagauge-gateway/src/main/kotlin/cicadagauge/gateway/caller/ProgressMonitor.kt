package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits

/** Finds out whether a request arrives too slowly, from checks that come once a second. */
internal class ProgressMonitor(private val limits: CallerLimits) {
    private var hasRead = false
    private var checksInHead = 0L
    private var checksWithoutRead = 0L

    /** Records that data was read. */
    fun recordRead() {
        hasRead = true
    }

    /** Whether the request is overdue, of which the head is arriving, the body, or neither. */
    fun isOverdue(isInHead: Boolean, isInBody: Boolean): Boolean {
        checksInHead = if (isInHead) checksInHead + 1 else 0
        checksWithoutRead = if (isInBody && !hasRead) checksWithoutRead + 1 else 0
        hasRead = false
        return checksInHead > limits.headTimeout.inWholeSeconds ||
            checksWithoutRead > limits.requestProgress.inWholeSeconds
    }
}
