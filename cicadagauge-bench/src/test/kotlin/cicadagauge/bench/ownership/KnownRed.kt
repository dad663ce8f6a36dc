package cicadagauge.bench.ownership

import java.nio.file.Files
import java.nio.file.Path

/** A test that fails for a fault that is known and not mended yet, as KNOWN-RED.txt lists it. */
data class KnownRed(val test: String, val command: String, val seen: String, val issue: String) {
    companion object {
        private const val PARTS = 4
        private val FILE = Path.of("..", "KNOWN-RED.txt")

        /** All entries; a line that is not in order fails the run, so that nothing is passed over by accident. */
        fun read(): List<KnownRed> {
            if (!Files.exists(FILE)) return emptyList()
            return Files.readAllLines(FILE).filter { it.isNotBlank() && !it.startsWith("#") }.map { line ->
                val parts = line.split('|').map { it.trim() }
                require(parts.size == PARTS) { "KNOWN-RED.txt: '$line' needs $PARTS parts" }
                KnownRed(parts[0], parts[1], parts[2], parts[3])
            }
        }
    }
}
