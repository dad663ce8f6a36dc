package cicadagauge.gateway.control

import cicadagauge.identity.Address
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.minutes

class CancelledCallTest :
    FunSpec({
        test("a call that is cancelled while it waits for a response closes its connection and has no result") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val loop = group.next()
                val client = JsonHttpClient(loop, emptyMap())
                val results = AtomicInteger()
                val target = Address("127.0.0.1", server.localPort)
                val call = loop.submit<CancellableCall> {
                    client.exchange(JsonCall(target, "/wait", body = null, timeout = 10.minutes)) {
                        results.incrementAndGet()
                    }
                }.get()
                server.accept().use { connection ->
                    val request = connection.getInputStream()
                    request.read() shouldBe 'G'.code
                    loop.submit { call.cancel() }.get()
                    val isClosed = try {
                        generateSequence { request.read() }.any { it < 0 }
                    } catch (_: SocketException) {
                        true
                    }
                    isClosed shouldBe true
                }
                loop.submit { call.cancel() }.get()
                results.get() shouldBe 0
            }
            group.shutdownGracefully()
        }
    })
