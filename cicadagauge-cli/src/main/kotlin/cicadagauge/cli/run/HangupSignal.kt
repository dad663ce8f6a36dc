package cicadagauge.cli.run

import sun.misc.Signal
import sun.misc.SignalHandler

/** SIGHUP, the hangup signal. It ends a JVM that has no handler for it. */
internal object HangupSignal {
    private const val NAME = "HUP"

    /**
     * Calls [action] at each signal. Returns false if the parent process had the signal ignored, as `nohup` does; it is
     * then never delivered.
     */
    fun handle(action: () -> Unit): Boolean = Signal.handle(Signal(NAME)) { action() } != SignalHandler.SIG_IGN

    /** Sends the signal to this process. */
    fun raise(): Unit = Signal.raise(Signal(NAME))
}
