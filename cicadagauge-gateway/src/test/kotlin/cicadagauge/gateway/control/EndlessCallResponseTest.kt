package cicadagauge.gateway.control

import cicadagauge.gateway.upstream.read
import cicadagauge.gateway.upstream.readEndlessly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n"

class EndlessCallResponseTest :
    FunSpec({
        // Guards against upstreams that send without end until the caller closes: the VM kept it all and ran out of
        // memory, with the requests of all its callers.
        val starts = mapOf(
            "a first line" to "",
            "bytes that are no response" to "z\r\n",
            "a header" to "HTTP/1.1 200 OK\r\na: ",
            "a body without a length" to UNFRAMED,
            "a body with a length" to "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
            "a chunk" to "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7fffffff\r\n",
            "a trailer" to "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ",
        )
        for ((title, start) in starts) {
            test("a call is lost and its connection closed when $title never ends") {
                val calls = EmbeddedCalls()
                val results = calls.call()
                val connection = calls.connections.single()
                connection.read(start)
                val bytes = connection.readEndlessly("x".repeat(4_096), maxBytes = 4_000_000)
                withClue("$bytes bytes") { bytes shouldBeLessThan 2 * JsonCall.SMALL_RESPONSE_BYTES }
                connection.isOpen shouldBe false
                statuses(results) shouldContainExactly listOf(null)
            }
        }

        test("a response as long as the limit is received, and its connection used again") {
            val calls = EmbeddedCalls()
            val limit = JsonCall.SMALL_RESPONSE_BYTES
            val results = calls.call()
            calls.connections[0].read("HTTP/1.1 200 OK\r\ncontent-length: $limit\r\n\r\n" + "x".repeat(limit))
            statuses(results) shouldContainExactly listOf(200)
            calls.call()
            calls.connections.size shouldBe 1
        }
    })
