package cicadagauge.cli.run

import cicadagauge.cli.ExitCode
import cicadagauge.gateway.Gateway
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Runs a started [gateway] until SIGTERM. [onHangup] is called on SIGHUP, which would end the process otherwise. */
internal class Daemon(private val gateway: Gateway, private val onHangup: () -> Unit = {}) {
    /**
     * Waits for SIGTERM, then stops the gateway within [limit] and shuts the log down. Returns [ExitCode.Failed] if a
     * request was still open at [limit]. If none was, a shutdown hook halts the JVM with [ExitCode.Ok], since the JVM
     * would exit with the signal's own status otherwise.
     */
    fun runUntilStopped(limit: Duration): ExitCode {
        val isHandled = HangupSignal.handle(onHangup)
        if (!isHandled) LOG.warn("SIGHUP is ignored by the parent process, so settings will not be read again")
        val stopRequested = CountDownLatch(1)
        val stopFinished = CountDownLatch(1)
        val isCleanStop = AtomicReference(true)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                stopRequested.countDown()
                stopFinished.await()
                if (isCleanStop.get()) Runtime.getRuntime().halt(ExitCode.Ok.code)
            },
        )
        stopRequested.await()
        isCleanStop.set(gateway.stop(limit))
        LogManager.shutdown()
        stopFinished.countDown()
        return if (isCleanStop.get()) ExitCode.Ok else ExitCode.Failed
    }

    private companion object {
        val LOG = LogManager.getLogger("cicadagauge")
    }
}
