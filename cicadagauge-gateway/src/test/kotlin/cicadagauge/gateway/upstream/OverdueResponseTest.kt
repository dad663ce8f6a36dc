package cicadagauge.gateway.upstream

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.outcome.AttemptOutcome
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.milliseconds

private const val REQUEST = "GET /loans HTTP/1.1\r\nhost: h\r\n\r\n"
private const val HALF = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf"

/** A gateway that has read half of a response when the deadline of the request passes. */
private fun halfAnsweredAtDeadline() = EmbeddedGateway().apply {
    receive(REQUEST)
    forward()
    connections[0].read(HALF)
    passDeadline()
}

class OverdueResponseTest :
    FunSpec({
        // Guards against callers that wait for the rest of a truncated answer: the time-out of a route counted only
        // until the answer had begun.
        test("a response that stalls after its head ends shortly after the deadline") {
            val gateway = halfAnsweredAtDeadline()
            gateway.ended.shouldBeEmpty()
            gateway.connections[0].pass(250.milliseconds)
            gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Truncated)
            gateway.isConnected shouldBe false
        }

        test("a response that arrives slowly is passed on whole, also after the deadline") {
            val gateway = halfAnsweredAtDeadline()
            for (part in listOf("w", "h", "o", "l")) {
                gateway.connections[0].pass(200.milliseconds)
                gateway.connections[0].read(part)
            }
            gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Answered(200))
            gateway.answered() shouldContain "halfwhol"
            gateway.isConnected shouldBe true
        }
    })
