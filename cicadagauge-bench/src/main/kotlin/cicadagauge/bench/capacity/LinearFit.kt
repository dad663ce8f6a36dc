package cicadagauge.bench.capacity

/**
 * A linear function fitted to measurements.
 *
 * @property fixed the value at size 0
 * @property perUnit the increase per unit of size
 */
data class LinearFit(val fixed: Double, val perUnit: Double) {
    /** The fitted value at [size]. */
    fun valueAt(size: Double): Double = fixed + perUnit * size

    companion object {
        /** Fits a line to [points] by least squares. */
        fun leastSquares(points: List<Point>): LinearFit {
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val perUnit = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            return LinearFit(meanValue - perUnit * meanSize, perUnit)
        }
    }
}

/** A value measured at a given size. */
data class Point(val size: Double, val value: Double)
