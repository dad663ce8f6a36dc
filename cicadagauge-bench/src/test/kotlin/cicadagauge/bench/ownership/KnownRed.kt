package cicadagauge.bench.ownership

import java.nio.file.Files
import java.nio.file.Path

/** An entry of KNOWN-RED.txt: a test that fails because of a known fault that is not fixed yet. */
data class KnownRed(val test: String, val command: String, val seen: String, val issue: String) {
    companion object {
        private const val PARTS = 4
        private val FILE = Path.of("..", "KNOWN-RED.txt")

        /** Reads all entries. A malformed line fails the test run, so that no test is skipped by accident. */
        fun read(): List<KnownRed> {
            if (!Files.exists(FILE)) return emptyList()
            return Files.readAllLines(FILE).filter { it.isNotBlank() && !it.startsWith("#") }.map { line ->
                val parts = line.split('|').map { it.trim() }
                require(parts.size == PARTS) { "KNOWN-RED.txt: '$line' needs $PARTS fields separated by '|'" }
                KnownRed(parts[0], parts[1], parts[2], parts[3])
            }
        }
    }
}
