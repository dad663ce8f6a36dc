package cicadagauge.dispatch

import cicadagauge.identity.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The throughput expected of the upstreams that serve one queue. The slowness that upstreams report of their hosts
 * lasts only for moments, so that a long wait is determined by the average throughput.
 *
 * @property pause time until the first of the upstreams accepts requests again.
 * @property presentRate requests per second that the upstreams serve while their hosts stay as slow as they are.
 * @property averageRate requests per second that they serve on average.
 * @property duration average duration of a request at them.
 * @property isFree whether one of them can take a request now.
 */
internal data class ServiceForecast(
    val pause: Duration,
    val presentRate: Double,
    val averageRate: Double,
    val duration: Duration,
    val isFree: Boolean,
) {
    /** The expected wait of a request that is served after [ahead] others. */
    fun waitBehind(ahead: Int): Duration {
        if (ahead == 0 && isFree) return Duration.ZERO
        return pause + timeToServe(ahead + MEAN_COMPLETION_FRACTION)
    }

    private fun timeToServe(requests: Double): Duration {
        val servedAtPresentRate = presentRate * PRESENT_RATE_PERIOD.toDouble(DurationUnit.SECONDS)
        if (requests <= servedAtPresentRate) return (requests / presentRate).seconds
        return PRESENT_RATE_PERIOD + ((requests - servedAtPresentRate) / averageRate).seconds
    }

    companion object {
        /** The forecast for [upstreams]. */
        fun of(upstreams: List<UpstreamLoad>, now: Moment): ServiceForecast = if (upstreams.isEmpty()) {
            NONE
        } else {
            ServiceForecast(
                pause = upstreams.minOf { it.remainingPause(now) },
                presentRate = upstreams.sumOf { it.expectedRate(now) },
                averageRate = upstreams.sumOf { it.averageRate(now) },
                duration = upstreams.map { it.averageDuration(now) }.reduce(Duration::plus) / upstreams.size,
                isFree = upstreams.any { it.hasCapacity(now) },
            )
        }

        /** The forecast while no upstream serves the queue: its requests wait until one does. */
        val NONE = ServiceForecast(
            pause = Duration.ZERO,
            presentRate = Double.POSITIVE_INFINITY,
            averageRate = Double.POSITIVE_INFINITY,
            duration = Duration.ZERO,
            isFree = false,
        )

        /** With all permits taken, the first is free after half the interval between two completions on average. */
        private const val MEAN_COMPLETION_FRACTION = 0.5

        /** How long upstreams are expected to remain as slow as they are. */
        private val PRESENT_RATE_PERIOD = 300.milliseconds
    }
}
