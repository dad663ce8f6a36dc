package cicadagauge.standins.deployment

import cicadagauge.gateway.Gateway
import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.environment.DefaultEnvironment
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import cicadagauge.node.NodeSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.net.ConnectException
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

private const val HOST = "127.0.0.1"

/** A running gateway whose store refuses connections, so that it never reads a declaration. */
private fun startGatewayWithoutStore(port: Int, maxOpenDelay: Duration): Gateway {
    val settings = GatewaySettings(
        node = NodeSettings(vm = VmId("vm"), zone = AvailabilityZone("a")),
        callers = Address(HOST, port),
        relays = Address(HOST, port + 1),
        control = Address(HOST, port + 2),
        secret = "secret",
        maxOpenDelay = maxOpenDelay,
    )
    return Gateway(settings, DefaultEnvironment(settings, store = Address(HOST, 1), vmList = Address(HOST, 1))).start()
}

/** The status line of the response to a GET request, or null where the port refuses the connection. */
private fun statusLine(port: Int): String? = try {
    Socket(HOST, port).use { socket ->
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n".toByteArray())
        socket.getInputStream().bufferedReader().readLine()
    }
} catch (_: ConnectException) {
    null
}

class OpenPortTest :
    FunSpec({
        test("connections are refused while there is no declaration, so that callers go to another VM") {
            val gateway = startGatewayWithoutStore(port = 28_810, maxOpenDelay = 1.hours)
            statusLine(28_810) shouldBe null
            gateway.kill()
        }

        test("a VM that has no declaration within the limit opens its port and answers 503") {
            val gateway = startGatewayWithoutStore(port = 28_820, maxOpenDelay = Duration.ZERO)
            var line: String? = null
            while (line == null) line = statusLine(28_820)
            line shouldStartWith "HTTP/1.1 503"
            gateway.kill()
        }
    })
