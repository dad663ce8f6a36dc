package cicadagauge.dispatch

import cicadagauge.node.DispatchSettings

/**
 * Limits retries of requests that have reached an upstream to a fraction of the requests that arrive
 * ([DispatchSettings.retryRatio]), with bursts of up to [DispatchSettings.retryBurst] retries.
 */
internal class RetryBudget(private val settings: DispatchSettings) {
    private var tokens = settings.retryBurst.toDouble()

    /** Records the arrival of a request, which adds its share to the budget. */
    fun recordRequest() {
        tokens = minOf(settings.retryBurst.toDouble(), tokens + settings.retryRatio)
    }

    /** Consumes the budget of one retry; returns false if there is not enough. */
    fun tryTake(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
