package cicadagauge.cli.run

import io.kotest.core.spec.style.FunSpec
import java.util.concurrent.CompletableFuture

class HangupSignalTest :
    FunSpec({
        test("SIGHUP calls the action and does not end the process") {
            val called = CompletableFuture<Unit>()
            val isHandled = HangupSignal.handle { called.complete(Unit) }
            HangupSignal.raise()
            // Below `nohup` the signal is ignored; the test then only shows that the process survives it.
            if (isHandled) called.get()
        }
    })
