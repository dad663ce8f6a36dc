package cicadagauge.bench.capacity

/** A straight line through measured points: a fixed part and a part that grows with the size. */
data class Slope(val fixed: Double, val perUnit: Double) {
    /** The line's value at [size]. */
    fun at(size: Double): Double = fixed + perUnit * size

    companion object {
        /** The line of least squares through [points], pairs of size and value. */
        fun through(points: List<Point>): Slope {
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val perUnit = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            return Slope(meanValue - perUnit * meanSize, perUnit)
        }
    }
}

/** A measured value at a size. */
data class Point(val size: Double, val value: Double)
