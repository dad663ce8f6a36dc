package cicadagauge.standins

import java.nio.file.Files
import java.nio.file.Path

/** An entry of KNOWN-RED.txt: a test that fails because of a known fault that is not fixed yet. */
public data class KnownFailure(val test: String, val command: String, val seen: String, val issue: String) {
    public companion object {
        private const val FIELD_COUNT = 4
        private val FILE = Path.of("..", "KNOWN-RED.txt")

        /** Reads all entries. A malformed line fails the test run, so that no test is skipped by accident. */
        public fun read(): List<KnownFailure> {
            if (!Files.exists(FILE)) return emptyList()
            return Files.readAllLines(FILE).filter { it.isNotBlank() && !it.startsWith("#") }.map { line ->
                val fields = line.split('|').map { it.trim() }
                require(fields.size == FIELD_COUNT) {
                    "KNOWN-RED.txt: '$line' needs $FIELD_COUNT fields separated by '|'"
                }
                val (test, command, seen, issue) = fields
                KnownFailure(test, command, seen, issue)
            }
        }
    }
}
