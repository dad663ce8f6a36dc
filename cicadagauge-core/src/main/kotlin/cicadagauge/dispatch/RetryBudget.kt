/*
 * Limits the retries of requests that have reached an upstream. The limit holds for each pool and for all VMs together:
 * each VM that handles a request adds its share of the allowed ratio to its own budget for the pool, and the allowed
 * burst is divided by the number of VMs.
 */
package cicadagauge.dispatch

import cicadagauge.identity.PoolName
import cicadagauge.node.DispatchSettings

/** The retry budgets of one VM. [vmCount] returns how many VMs there are. */
internal class RetryBudgets(private val settings: DispatchSettings, private val vmCount: () -> Int) {
    private val budgets = HashMap<PoolName, RetryBudget>()

    /** The budget for requests to [pool]. */
    fun of(pool: PoolName): RetryBudget = budgets.getOrPut(pool) { RetryBudget(settings, vmCount) }
}

/** The retry budget of one VM for one pool. */
internal class RetryBudget(private val settings: DispatchSettings, private val vmCount: () -> Int) {
    private var tokens = capacity()

    /** Records that this VM has admitted a request. */
    fun recordAdmitted(): Unit = add(settings.retryRatio * ADMITTING_SHARE)

    /** Records that this VM, as its home, has sent a request to an upstream for the first time. */
    fun recordSent(): Unit = add(settings.retryRatio * HOME_SHARE)

    /** Consumes the budget of one retry; returns false if there is not enough. */
    fun tryTake(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private fun add(credit: Double) {
        tokens = minOf(capacity(), tokens + credit)
    }

    /** At least one, so that a VM of a large fleet can retry at all. */
    private fun capacity(): Double = maxOf(1.0, settings.retryBurst * BURST_SHARE / maxOf(1, vmCount()))

    /**
     * The shares of the allowed ratio that the two VMs of a request use. Most retries are made by the home. Together
     * they stay below one, since a retry through another home is counted there as a request.
     */
    private companion object {
        const val ADMITTING_SHARE = 0.15
        const val HOME_SHARE = 0.7

        /** The share of the allowed burst that is used. The rest covers a restart of all VMs, which start with it. */
        const val BURST_SHARE = 0.45
    }
}
