package cicadagauge.cli.run

import cicadagauge.cli.ExitCode
import cicadagauge.gateway.Gateway
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Runs a started gateway as a process. [reload] is called on SIGHUP, which would end the process otherwise. */
internal class Daemon(private val gateway: Gateway, private val reload: () -> Unit = {}) {
    /** Returns once SIGTERM has come and the gateway has stopped, which may take [limit]. */
    fun runUntilStopped(limit: Duration): ExitCode {
        val isHeard = HangUp.handle(reload)
        if (!isHeard) LOG.warn("hang-ups are ignored by the parent process, so settings are not read again")
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
