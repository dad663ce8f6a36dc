package cicadagauge.admission

import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import kotlin.time.Duration

/** How long coordinators take to answer this VM, estimated for each VM as TCP does for its retransmissions. */
internal class RoundTripTimes(private val settings: BudgetSettings) {
    private val estimates = HashMap<VmId, Estimate>()

    /** Records that an answer of [vm] came after [time]; longer times than matter don't count in full. */
    fun record(vm: VmId, time: Duration) {
        val sample = minOf(time, settings.maxLoanLifetime * MAX_SAMPLE_LIFETIMES)
        val estimate = estimates[vm]
        if (estimate == null) estimates[vm] = Estimate(sample, sample / 2) else estimate.add(sample)
    }

    /** The smoothed round-trip time to [vm]; zero where none is known. */
    fun smoothed(vm: VmId): Duration = estimates[vm]?.smoothed ?: Duration.ZERO

    /**
     * How long to wait for an answer of [vm] before another VM is asked. An answer that takes longer than
     * [BudgetSettings.maxLoanLifetime] brings no usable tokens.
     */
    fun answerTimeout(vm: VmId): Duration {
        val estimate = estimates[vm] ?: return settings.answerTimeout
        val longest = maxOf(settings.answerTimeout, settings.maxLoanLifetime)
        val margin = maxOf(estimate.deviation * DEVIATIONS, estimate.smoothed * MIN_MARGIN_FRACTION)
        return (estimate.smoothed + margin).coerceIn(settings.answerTimeout, longest)
    }

    /** Forgets the VMs that are not [isKnown] any more. */
    fun retain(isKnown: (VmId) -> Boolean) {
        estimates.keys.removeIf { !isKnown(it) }
    }

    private class Estimate(var smoothed: Duration, var deviation: Duration) {
        fun add(sample: Duration) {
            deviation += ((sample - smoothed).absoluteValue - deviation) * DEVIATION_GAIN
            smoothed += (sample - smoothed) * SMOOTHING_GAIN
        }
    }

    private companion object {
        /** So that the estimate soon follows the usual times again after a VM stood still. */
        const val MAX_SAMPLE_LIFETIMES = 2

        // The weights of RFC 6298.
        const val SMOOTHING_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
        const val DEVIATIONS = 4

        /** The least margin over the usual round trip, as a part of it: the deviation is close to 0 in calm times. */
        const val MIN_MARGIN_FRACTION = 0.5
    }
}
