package cicadagauge.dispatch

import cicadagauge.node.DispatchSettings

/** Bounds retries of requests that may have run to a part of the requests that arrive. */
internal class RetryBudget(private val settings: DispatchSettings) {
    private var tokens = settings.retryBurst.toDouble()

    /** Counts one request that arrives. */
    fun arrived() {
        tokens = minOf(settings.retryBurst.toDouble(), tokens + settings.retryRatio)
    }

    /** Takes permission for one retry. */
    fun take(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
