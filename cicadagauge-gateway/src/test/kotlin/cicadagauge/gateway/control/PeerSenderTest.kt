package cicadagauge.gateway.control

import arrow.core.right
import cicadagauge.identity.Address
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import cicadagauge.store.MessageJson
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.minutes

/** The length of the body that is sent for [message], before decompression. */
private fun lengthOnTheWire(message: PeerMessage): Int {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    return ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        val loop = group.next()
        val sender = PeerSender(JsonHttpClient(loop, emptyMap()), 1.minutes)
        loop.execute { sender.send(VmId("peer"), Address("127.0.0.1", server.localPort), message) }
        val head = server.accept().use {
            it.getInputStream().bufferedReader().lineSequence().takeWhile(String::isNotEmpty).toList()
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        head.first { it.startsWith("content-length", ignoreCase = true) }.substringAfter(':').trim().toInt()
    }
}

class PeerSenderTest :
    FunSpec({
        fun received(message: PeerMessage): Pair<JsonRequest, List<PeerMessage>?> {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val arrived = CompletableFuture<JsonRequest>()
            val server = JsonHttpServer(group, Address("127.0.0.1", 0)) { request, answer ->
                arrived.complete(request)
                answer(JsonResponse(status = 204))
            }.start()
            val loop = group.next()
            val sender = PeerSender(JsonHttpClient(loop, emptyMap()), 1.minutes)
            loop.execute { sender.send(VmId("peer"), Address("127.0.0.1", server.port), message) }
            val request = arrived.get()
            server.close()
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
            return request to MessageJson.read(request.body).getOrNull()
        }

        test("a short message is sent uncompressed") {
            val (request, messages) = received(PeerMessage.Ping)
            messages shouldBe listOf(PeerMessage.Ping)
            MessageJson.read(request.body) shouldBe listOf<PeerMessage>(PeerMessage.Ping).right()
        }

        test("a long message is sent compressed and arrives complete") {
            val message = PeerMessage.DeclarationUpdate(DeclarationVersion(1), "routes ".repeat(10_000))
            val (request, messages) = received(message)
            messages shouldBe listOf(message)
            (lengthOnTheWire(message) < request.body.size / 10) shouldBe true
        }
    })
