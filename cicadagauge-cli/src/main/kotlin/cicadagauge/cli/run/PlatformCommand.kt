package cicadagauge.cli.run

import cicadagauge.cli.Command
import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.gateway.Gateway
import cicadagauge.platform.PlatformEnvironment
import cicadagauge.platform.PlatformSettings
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.kohsuke.args4j.Option
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** `platform`: runs one entry VM on the users' platform until SIGTERM. */
class PlatformCommand : Command {
    @Option(name = "--config", usage = "the platform's settings file")
    var config: String? = null

    override fun run(console: Console): ExitCode {
        val settings = Settings()
        val path = settings.text("--config", config)
        settings.problems.forEach(console::printError)
        if (settings.problems.isNotEmpty()) return ExitCode.Usage
        return PlatformSettings.read(path, System.currentTimeMillis()).fold({ problem ->
            console.printError(problem)
            ExitCode.Usage
        }, { runGateway(it, path) })
    }

    private fun runGateway(settings: PlatformSettings, path: String): ExitCode {
        val gateway = settings.gateway
        val environment = PlatformEnvironment(settings.store, STORE_TIMEOUT, gateway.node.ownership.ranges)
        val running = Gateway(gateway, environment).start()
        return Daemon(running) { checkSettings(path) }.runUntilStopped(STOP_LIMIT)
    }

    /**
     * Checks the settings file and logs the result. Addresses and ports are bound at the start, so changes take effect
     * at the next start.
     */
    private fun checkSettings(path: String) {
        val problem = PlatformSettings.read(path, System.currentTimeMillis()).swap().getOrNull()
        val message = StringMapMessage().with("event", "settings-read-again").with("problem", problem ?: "none")
        LogManager.getLogger("cicadagauge").info(message)
    }

    private companion object {
        /** Limit for the answer to a call on the store; that to a watch may take the watch's wait in addition. */
        val STORE_TIMEOUT: Duration = 1_000.milliseconds

        /** The platform kills a process 6 s after asking it to stop. */
        val STOP_LIMIT: Duration = 5_500.milliseconds
    }
}
