package cicadagauge.standins.store

/**
 * Faults that the store stand-in simulates.
 *
 * @property out whether calls take no effect and get no answer; the connection is closed instead
 * @property loseAnswers whether puts and deletions take effect but their answers are dropped
 * @property delayMillis by how many milliseconds every answer is delayed
 */
public data class StoreFaults(val out: Boolean = false, val loseAnswers: Boolean = false, val delayMillis: Long = 0)
