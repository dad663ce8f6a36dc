package cicadagauge.gateway.control

import arrow.core.right
import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.log.EventLog
import cicadagauge.identity.Address
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import cicadagauge.store.MessageJson
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.minutes

private const val SECRET = "secret"

private fun peerSender(loop: EventLoop, replies: PeerReplyListener = PeerReplyListener { _, _ -> }) = PeerSender(
    client = JsonHttpClient(loop, emptyMap()),
    timeout = 1.minutes,
    identity = JsonHttpClient.authFields(SECRET, "self"),
    log = EventLog(VmId("self")) { MonotonicClock.now() },
    replies = replies,
)

/** The length of the body that is sent for [message], before decompression. */
private fun lengthOnTheWire(message: PeerMessage): Int {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    return ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        val loop = group.next()
        val sender = peerSender(loop)
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
            val sender = peerSender(loop)
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

        /** What arrives in answer to a ping, from a peer whose response carries [identity]. */
        fun replyTo(answers: List<PeerMessage>, identity: Map<String, String>): Pair<VmId, List<PeerMessage>>? {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val loop = group.next()
            val arrived = CompletableFuture<Pair<VmId, List<PeerMessage>>?>()
            val server = JsonHttpServer(group, Address("127.0.0.1", 0)) { _, answer ->
                answer(JsonResponse(status = 200, MessageJson.write(answers), headers = identity))
                // The response is read before what is scheduled after it has been written.
                loop.schedule({ arrived.complete(null) }, 1, TimeUnit.SECONDS)
            }.start()
            val sender = peerSender(loop) { from, messages -> arrived.complete(from to messages) }
            loop.execute { sender.send(VmId("called"), Address("127.0.0.1", server.port), PeerMessage.Ping) }
            val result = arrived.get()
            server.close()
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
            return result
        }

        test("a reply counts as a message of the process that gave it, which may be a later one at the address") {
            val reply = replyTo(listOf(PeerMessage.Pong), JsonHttpClient.authFields(SECRET, "responding"))
            reply shouldBe (VmId("responding") to listOf(PeerMessage.Pong))
        }

        test("a reply without the deployment's secret is ignored") {
            replyTo(listOf(PeerMessage.Pong), JsonHttpClient.authFields("other", "responding")) shouldBe null
        }

        test("only short messages to the caller travel in the response") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val sender = peerSender(group.next())
            val unreachable = Address("127.0.0.1", 1)
            val long = PeerMessage.DeclarationUpdate(DeclarationVersion(1), "routes ".repeat(1_000))
            fun replyWith(to: String, message: PeerMessage) =
                sender.replyTo(VmId("caller")) { sender.send(VmId(to), unreachable, message) }
                    ?.let { MessageJson.read(it).getOrNull() }
            replyWith("caller", PeerMessage.Pong) shouldBe listOf(PeerMessage.Pong)
            replyWith("caller", long) shouldBe null
            replyWith("other", PeerMessage.Pong) shouldBe null
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    })
