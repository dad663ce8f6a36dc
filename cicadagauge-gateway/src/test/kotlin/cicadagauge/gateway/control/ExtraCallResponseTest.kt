package cicadagauge.gateway.control

import cicadagauge.gateway.upstream.read
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private const val RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
private const val CONFLICT = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n"

class ExtraCallResponseTest :
    FunSpec({
        test("a second response that is read with the first is no answer to the next call") {
            val calls = EmbeddedCalls()
            var next = emptyList<CallResult>()
            val first = calls.call { next = calls.call() }
            calls.connections[0].read(CONFLICT + RESPONSE)
            statuses(first) shouldContainExactly listOf(409)
            next.shouldBeEmpty()
            calls.connections.map { it.isOpen } shouldContainExactly listOf(false, true)
        }

        test("data on an idle connection closes it") {
            for (data in listOf("\r\n", "HTTP/1.1 200", RESPONSE)) {
                val calls = EmbeddedCalls()
                calls.call()
                calls.connections[0].read(RESPONSE)
                calls.connections[0].isOpen shouldBe true
                calls.connections[0].read(data)
                withClue(data) { calls.connections[0].isOpen shouldBe false }
            }
        }

        // Guards against a late copy of an earlier answer that counts as the proof that an upstream has released keys on
        // which it is still at work (review case 3).
        test("a call that needs its own connection shares none with the calls before and after it") {
            val calls = EmbeddedCalls()
            calls.call()
            calls.connections[0].read(RESPONSE)
            val alone = calls.call(ConnectionReuse.Never)
            calls.connections[0].read(RESPONSE)
            alone.shouldBeEmpty()
            calls.connections[1].read(CONFLICT)
            statuses(alone) shouldContainExactly listOf(409)
            calls.connections[1].isOpen shouldBe false
        }

        // Guards against an order that ends as refused because of a late copy of the refusal of an earlier one.
        test("a connection is not used again after a refusal, where a copy of that must not end the next call") {
            val calls = EmbeddedCalls()
            calls.call(ConnectionReuse.AfterSuccess)
            calls.connections[0].read(RESPONSE)
            calls.call(ConnectionReuse.AfterSuccess)
            calls.connections.size shouldBe 1
            calls.connections[0].read(CONFLICT)
            calls.connections[0].isOpen shouldBe false
            val next = calls.call(ConnectionReuse.AfterSuccess)
            next.shouldBeEmpty()
            calls.connections[1].read(RESPONSE)
            statuses(next) shouldContainExactly listOf(200)
        }

        test("what can't be read as a response is no answer") {
            val calls = EmbeddedCalls()
            val results = calls.call()
            calls.connections[0].read("garbage\r\n\r\n")
            statuses(results) shouldContainExactly listOf(null)
            calls.connections[0].isOpen shouldBe false
        }
    })
