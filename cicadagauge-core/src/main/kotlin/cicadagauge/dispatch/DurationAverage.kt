package cicadagauge.dispatch

import kotlin.time.Duration

/**
 * A moving average of durations. The first few durations have equal weight, so that a single unusual one at the start
 * does not determine the average for long.
 */
internal class DurationAverage {
    private var samples = 0

    /** The average, or null if no duration has been recorded. */
    var value: Duration? = null
        private set

    /** Adds [duration] to the average. */
    fun record(duration: Duration) {
        samples++
        val weight = maxOf(SMOOTHING_FACTOR, 1.0 / samples)
        value = value?.let { it * (1 - weight) + duration * weight } ?: duration
    }

    private companion object {
        /** The weight of the latest duration, once enough have been recorded. */
        const val SMOOTHING_FACTOR = 0.1
    }
}
