package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.EventLoopMonitor
import cicadagauge.gateway.RecordingNode
import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** A caller's connection; the node answers a request only when the test says so. */
private class AheadCaller(val limits: CallerLimits = CallerLimits()) {
    private val node = RecordingNode()
    private var now = Moment.ZERO
    private val channel = EmbeddedChannel()
    private val registry = node.registry(channel.eventLoop(), EventLoopMonitor { now })
    private val handler = CallerHandler(registry, limits, acceptsRelays = false)

    init {
        now += 10.seconds
        channel.pipeline().addLast(StrictRequestDecoder(limits, handler), ResponseEncoder(), handler)
    }

    val isReading: Boolean get() = channel.config().isAutoRead

    /** The paths of the requests that the node was given, in this order. */
    val arrived: List<String> get() = node.events.filterIsInstance<Event.RequestArrived>().map { it.head.path }

    val hasDisconnected: Boolean get() = node.events.any { it is Event.CallerDisconnected }

    /** Sends [text] as far as the connection is being read; returns the number of bytes that were taken. */
    fun send(text: String): Int {
        val chunks = text.chunked(CHUNK_BYTES).takeWhile { isReading.also { reading -> if (reading) receive(it) } }
        return chunks.sumOf { it.length }
    }

    private fun receive(chunk: String) {
        channel.writeInbound(channel.alloc().buffer().writeBytes(chunk.toByteArray(Charsets.ISO_8859_1)))
        pass()
    }

    /** Answers the request that the node was given last. */
    fun answer() {
        val id = node.events.filterIsInstance<Event.RequestArrived>().last().id
        registry.refuse(Effect.Refuse(id, Refusal(Reason.Overloaded, "no room")))
        pass()
        generateSequence { channel.readOutbound<Any>() }.forEach(ReferenceCountUtil::release)
    }

    fun disconnect() {
        channel.close()
        pass()
    }

    private fun pass() {
        repeat(3) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS)
            channel.runPendingTasks()
            channel.runScheduledPendingTasks()
        }
    }

    private companion object {
        const val CHUNK_BYTES = 1_000
    }
}

private fun request(path: String) = "GET $path HTTP/1.1\r\nhost: h\r\n\r\n"

class ReadAheadTest :
    FunSpec({
        test("reading pauses when a caller sends endlessly behind a request that waits") {
            val caller = AheadCaller()
            val taken = caller.send((1..100_000).joinToString("") { request("/$it") })
            taken shouldBeLessThanOrEqual caller.limits.readAheadBytes + 2_000
            caller.isReading shouldBe false
            caller.arrived shouldBe listOf("/1")
        }

        test("endless bodies behind a request that waits are not read on either") {
            val caller = AheadCaller()
            val post = "POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 10000000\r\n\r\n"
            val taken = caller.send(request("/a") + post + "x".repeat(10_000_000))
            taken shouldBeLessThanOrEqual caller.limits.readAheadBytes * 2 + 2_000
            caller.isReading shouldBe false
        }

        test("every request that was sent ahead is handed to the node, in order, one at a time") {
            val caller = AheadCaller()
            val text = (1..5_000).joinToString("") { request("/$it") }
            var sent = caller.send(text)
            repeat(5_000) { index ->
                caller.arrived.size shouldBe index + 1
                caller.answer()
                if (sent < text.length) sent += caller.send(text.substring(sent))
            }
            sent shouldBe text.length
            caller.arrived shouldBe (1..5_000).map { "/$it" }
            caller.isReading shouldBe true
        }

        test("a caller who leaves while requests wait behind the first is noticed at once") {
            val caller = AheadCaller()
            caller.send((1..500).joinToString("") { request("/$it") })
            caller.isReading shouldBe true
            caller.disconnect()
            caller.hasDisconnected shouldBe true
        }
    })
