package cicadagauge.cli.run

import sun.misc.Signal
import sun.misc.SignalHandler

/** SIGHUP, which ends a JVM that does not handle it. */
internal object HangUp {
    private const val NAME = "HUP"

    /** Calls [action] whenever the signal comes; false where the parent process has it ignored, as `nohup` does. */
    fun handle(action: () -> Unit): Boolean = Signal.handle(Signal(NAME)) { action() } != SignalHandler.SIG_IGN

    /** Sends the signal to this process. */
    fun raise(): Unit = Signal.raise(Signal(NAME))
}
