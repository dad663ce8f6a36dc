package cicadagauge.gateway.upstream

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.TruncationCause
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val REQUEST = "GET /loans HTTP/1.1\r\nhost: h\r\n\r\n"
private const val HALF = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf"

/** A gateway that has read half of a response when the deadline of the request passes. */
private fun halfAnsweredAtDeadline() = EmbeddedGateway().apply {
    receive(REQUEST)
    forward()
    connections[0].read(HALF)
    passDeadline()
}

/** A response that starts with [start], after which [part] arrives over and over; it is cut off as [cause] says. */
private class EndlessResponse(val start: String, val part: String, val cause: TruncationCause)

private val ENDLESS_RESPONSES = listOf(
    EndlessResponse("transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n", TruncationCause.Overdue),
    EndlessResponse("transfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", TruncationCause.Stalled),
    EndlessResponse("content-length: 99999\r\n\r\n", "x", TruncationCause.Overdue),
    EndlessResponse("connection: close\r\n\r\n", "x", TruncationCause.Overdue),
)

class OverdueResponseTest :
    FunSpec({
        // Guards against callers that wait for the rest of a truncated answer: the time-out of a route counted only
        // until the answer had begun.
        test("a response that stalls after its head ends shortly after the deadline") {
            val gateway = halfAnsweredAtDeadline()
            gateway.ended.shouldBeEmpty()
            gateway.connections[0].pass(250.milliseconds)
            gateway.ended.map { it.outcome } shouldContainExactly
                listOf(AttemptOutcome.Truncated(TruncationCause.Stalled))
            gateway.isConnected shouldBe false
        }

        test("a response that arrives slowly is passed on whole, also after the deadline") {
            val gateway = halfAnsweredAtDeadline()
            for (part in listOf("w", "h", "o", "l")) {
                gateway.connections[0].pass(95.milliseconds)
                gateway.connections[0].read(part)
            }
            gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Answered(200))
            gateway.answered() shouldContain "halfwhol"
            gateway.isConnected shouldBe true
        }

        // Guards against callers that are kept waiting without end: an answer that went on had no bound after its
        // first byte (review case 10).
        for (response in ENDLESS_RESPONSES) {
            val name = response.start.trim().replace("\r\n", " ")
            test("a response that does not end is cut off half a second after the deadline at the latest: $name") {
                val gateway = EmbeddedGateway(UnframedDialect).apply {
                    receive(REQUEST)
                    forward()
                    connections[0].read("HTTP/1.1 200 OK\r\n${response.start}")
                    passDeadline()
                }
                val connection = gateway.connections[0]
                var overdue = Duration.ZERO
                while (gateway.ended.isEmpty() && overdue < 2.seconds) {
                    connection.pass(50.milliseconds)
                    overdue += 50.milliseconds
                    if (connection.isOpen) connection.read(response.part)
                }
                overdue shouldBeLessThan 500.milliseconds
                gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Truncated(response.cause))
                gateway.answered() shouldNotContain "\r\n0\r\n"
                gateway.isConnected shouldBe false
                connection.isOpen shouldBe false
            }
        }
    })
