package cicadagauge.standins.store

/**
 * What is wrong with the store at present: [out] leaves calls without an answer and effect, [loseAnswers] lets
 * writes take effect and drops their answers, [delayMillis] delays every answer.
 */
public data class StoreFaults(val out: Boolean = false, val loseAnswers: Boolean = false, val delayMillis: Long = 0)
