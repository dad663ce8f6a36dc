package cicadagauge.cli.run

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** The operating system's limits for this process. */
internal object ProcessLimits {
    private val FILE = Path.of("/proc/self/limits")
    private const val OPEN_FILES = "Max open files"

    /** The limit of many systems, where the process's own can't be read. */
    private const val COMMON_DESCRIPTORS = 1_024

    /** How many file descriptors this process may have. */
    fun descriptors(): Int = try {
        val line = Files.readAllLines(FILE).firstOrNull { it.startsWith(OPEN_FILES) }
        line?.removePrefix(OPEN_FILES)?.trim()?.substringBefore(' ')?.toIntOrNull() ?: COMMON_DESCRIPTORS
    } catch (_: IOException) {
        COMMON_DESCRIPTORS
    }
}
