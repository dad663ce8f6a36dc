package cicadagauge.cli.run

import io.kotest.core.spec.style.FunSpec
import java.util.concurrent.CompletableFuture

class HangUpTest :
    FunSpec({
        test("SIGHUP calls the action and does not end the process") {
            val called = CompletableFuture<Unit>()
            val isHeard = HangUp.handle { called.complete(Unit) }
            HangUp.raise()
            // Below `nohup` the signal is ignored; the test then only shows that the process survives it.
            if (isHeard) called.get()
        }
    })
