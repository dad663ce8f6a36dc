package cicadagauge.ownership

import kotlin.math.pow
import kotlin.math.sqrt

/**
 * The expected number of requests that wait for an upstream of [utilization] that runs [concurrency] requests at a
 * time: Sakasegawa's approximation for random arrivals. Near saturation, where the queue of a steady load would have no
 * bound, it grows in a straight line.
 */
internal fun expectedWaiting(utilization: Double, concurrency: Int): Double {
    if (utilization <= SATURATION) return steadyWaiting(utilization, concurrency)
    val slope = (steadyWaiting(SATURATION, concurrency) - steadyWaiting(SATURATION - STEP, concurrency)) / STEP
    return steadyWaiting(SATURATION, concurrency) + (utilization - SATURATION) * slope
}

private fun steadyWaiting(utilization: Double, concurrency: Int): Double =
    utilization.pow(sqrt(2.0 * (concurrency + 1))) / (1 - utilization)

/** The utilization beyond which a queue is bounded by how long the load lasts and not by chance. */
private const val SATURATION = 0.9
private const val STEP = 0.001
