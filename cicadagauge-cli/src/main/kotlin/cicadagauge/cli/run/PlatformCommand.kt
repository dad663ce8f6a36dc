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
        }, { serve(it, path) })
    }

    private fun serve(settings: PlatformSettings, path: String): ExitCode {
        val gateway = settings.gateway
        val environment = PlatformEnvironment(settings.store, STORE_PATIENCE, gateway.node.ownership.ranges)
        val running = Gateway(gateway, environment).start()
        return Daemon(running) { reload(path) }.runUntilStopped(STOP_LIMIT)
    }

    /**
     * Checks the settings file and logs the result. Addresses and ports are bound at the start, so changes take effect
     * at the next start.
     */
    private fun reload(path: String) {
        val problem = PlatformSettings.read(path, System.currentTimeMillis()).swap().getOrNull()
        val message = StringMapMessage().with("event", "settings-read-again").with("problem", problem ?: "none")
        LogManager.getLogger("cicadagauge").info(message)
    }

    private companion object {
        val STORE_PATIENCE: Duration = 1_000.milliseconds

        /** The platform kills a process 6 s after asking it to stop. */
        val STOP_LIMIT: Duration = 5_500.milliseconds
    }
}
