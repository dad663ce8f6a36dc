package cicadagauge.gateway.upstream

import io.netty.util.concurrent.EventExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds the rest of a rejection, which is read only so that the connection can be used again. [close] is called when
 * the rest is too long or doesn't come in time.
 */
internal class RejectionDrain(executor: EventExecutor, private val close: () -> Unit) {
    private val timeout = executor.schedule({ close() }, MAX_DURATION.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    private var bytes = 0

    /** Counts [length] bytes that have been read. */
    fun add(length: Int) {
        bytes += length
        if (bytes > MAX_BYTES) close()
    }

    /** Ends the drain. */
    fun end() {
        timeout.cancel(false)
    }

    private companion object {
        const val MAX_BYTES = 16_384
        val MAX_DURATION: Duration = 1.seconds
    }
}
