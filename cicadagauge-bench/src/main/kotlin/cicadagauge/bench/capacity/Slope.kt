package cicadagauge.bench.capacity

/**
 * A linear function fitted to measurements.
 *
 * @property fixed the value at size 0
 * @property perUnit the increase per unit of size
 */
data class Slope(val fixed: Double, val perUnit: Double) {
    /** The fitted value at [size]. */
    fun at(size: Double): Double = fixed + perUnit * size

    companion object {
        /** Fits a line to [points] by least squares. */
        fun through(points: List<Point>): Slope {
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val perUnit = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            return Slope(meanValue - perUnit * meanSize, perUnit)
        }
    }
}

/** A value measured at a given size. */
data class Point(val size: Double, val value: Double)
