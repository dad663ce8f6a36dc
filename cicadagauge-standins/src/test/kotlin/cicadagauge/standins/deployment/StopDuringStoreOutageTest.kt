package cicadagauge.standins.deployment

import cicadagauge.standins.store.StoreFaults
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StopDuringStoreOutageTest :
    FunSpec({
        // Guards against a stop that accepts requests while it waits for the store, and then has no time left to
        // answer them (review case 5).
        test("a VM that can't hand over its duties stops accepting requests, and ends once the store is back") {
            val shape = UntimedSettings.of(
                DeploymentShape.HOSHIZORA.copy(
                    pools = DeploymentShape.HOSHIZORA.pools.map { it.copy(upstreamCount = 2) },
                    entryVms = 2,
                ),
            )
            val deployment = InProcessDeployment(
                shape,
                vmCount = 2,
                portBase = 28_800,
                service = 5.milliseconds,
                coldTime = Duration.ZERO,
                adjust = UntimedSettings::of,
            ).start(UntimedSettings.TIMEOUT)
            val holder = deployment.gateways.indexOfFirst { it.statusNow().duties.isNotEmpty() }
            val address = deployment.callers[holder]
            val answers = Socket(address.host, address.port).use { kept ->
                kept.soTimeout = READ_TIMEOUT_MILLIS
                val request = "GET /catalogue/club-1 HTTP/1.1\r\nhost: a\r\n" +
                    "x-api-key: ${shape.apiKeyOf("customer-1")}\r\n\r\n"
                kept.getOutputStream().write(request.toByteArray())
                val input = kept.getInputStream()
                val status = input.readNBytes(STATUS_LINE.length)
                deployment.injectStoreFaults(StoreFaults(out = true))
                val stop = CompletableFuture.supplyAsync {
                    deployment.gateways[holder].stop(UntimedSettings.TIMEOUT)
                }
                while (input.read() >= 0) Unit
                deployment.injectStoreFaults(StoreFaults())
                String(status) to stop.get()
            }
            deployment.stop()
            answers shouldBe (STATUS_LINE to true)
        }
    })

private const val STATUS_LINE = "HTTP/1.1 200 OK"

/** Far less than the half of the stop's limit for which a stop used to wait for the store. */
private const val READ_TIMEOUT_MILLIS = 60_000
