package cicadagauge.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Notices that this process may have been suspended for a time that the steady clock did not count: then the time of
 * day has advanced by more. A time of day that was set looks the same, and is treated so.
 */
internal class SuspensionDetector(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var offset = currentOffset()

    /** By how much the clocks have come apart since the last call; null where they have not. */
    fun clockJump(): Duration? {
        val current = currentOffset()
        val jump = current - offset
        offset = current
        return jump.takeIf { it.absoluteValue > TOLERANCE }
    }

    private fun currentOffset(): Duration = wallMillis().milliseconds - monotonicNanos().nanoseconds

    private companion object {
        /** The time of day has a resolution of a millisecond and is slewed by less than this between two events. */
        val TOLERANCE = 20.milliseconds
    }
}
