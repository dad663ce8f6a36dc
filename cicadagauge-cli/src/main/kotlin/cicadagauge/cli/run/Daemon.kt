package cicadagauge.cli.run

import cicadagauge.cli.ExitCode
import cicadagauge.gateway.Gateway
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Runs a started [gateway] until SIGTERM. [reload] is called on SIGHUP, which would end the process otherwise. */
internal class Daemon(private val gateway: Gateway, private val reload: () -> Unit = {}) {
    /**
     * Waits for SIGTERM, then stops the gateway within [limit] and shuts the log down. Returns [ExitCode.Failed] if a
     * request was still open at [limit]. If none was, a shutdown hook halts the JVM with [ExitCode.Ok], since the JVM
     * would exit with the signal's own status otherwise.
     */
    fun runUntilStopped(limit: Duration): ExitCode {
        val isHeard = HangUp.handle(reload)
        if (!isHeard) LOG.warn("SIGHUP is ignored by the parent process, so settings will not be read again")
        val asked = CountDownLatch(1)
        val stopped = CountDownLatch(1)
        val whole = AtomicReference(true)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                asked.countDown()
                stopped.await()
                if (whole.get()) Runtime.getRuntime().halt(ExitCode.Ok.code)
            },
        )
        asked.await()
        whole.set(gateway.stop(limit))
        LogManager.shutdown()
        stopped.countDown()
        return if (whole.get()) ExitCode.Ok else ExitCode.Failed
    }

    private companion object {
        val LOG = LogManager.getLogger("cicadagauge")
    }
}
