package cicadagauge.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Detects that this process may have been suspended for a time that the monotonic clock did not count: the wall clock
 * has then advanced by more. A wall clock that was set looks the same and is treated the same.
 */
internal class SuspensionDetector(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var offset = currentOffset()

    /**
     * By how much the wall clock has advanced more than the monotonic clock since the last call; negative if the wall
     * clock was set back, null if the difference is within [TOLERANCE].
     */
    fun clockJump(): Duration? {
        val current = currentOffset()
        val jump = current - offset
        offset = current
        return jump.takeIf { it.absoluteValue > TOLERANCE }
    }

    private fun currentOffset(): Duration = wallMillis().milliseconds - monotonicNanos().nanoseconds

    private companion object {
        /** The wall clock has a resolution of 1 ms and is slewed by less than this between two events. */
        val TOLERANCE = 20.milliseconds
    }
}
