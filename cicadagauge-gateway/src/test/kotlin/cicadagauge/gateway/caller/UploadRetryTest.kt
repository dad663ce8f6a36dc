package cicadagauge.gateway.caller

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.gateway.upstream.read
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val HEAD = "POST /loans HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"
private const val REJECTION = "HTTP/1.1 503 Busy\r\nx-cicadagauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n"

/** Chunk number [number] of an upload, of [length] characters that tell the chunks apart. */
private fun chunk(number: Int, length: Int): String =
    "${length.toString(radix = 16)}\r\n${"abcdefghij"[number].toString().repeat(length)}\r\n"

/** The characters of the body in [sent], a request in chunks as far as it was sent. */
private fun bodyOf(sent: String): String =
    sent.substringAfter("\r\n\r\n").split("\r\n").filterIndexed { index, _ -> index % 2 == 1 }.joinToString("")

class UploadRetryTest :
    FunSpec({
        // Guards against uploads that run without the first part of their body (review case 1).
        for (readBefore in listOf(8_000, 40_000, 60_000)) {
            test("an upload that is rejected after $readBefore bytes is sent again whole, whatever comes in between") {
                val gateway = EmbeddedGateway()
                gateway.receive(HEAD + chunk(0, readBefore))
                gateway.forward()
                gateway.connections[0].read(REJECTION)
                gateway.ended.last().outcome shouldBe AttemptOutcome.NotRun(NotRunCause.Busy)
                gateway.ended.last().isBodyRetained shouldBe true
                val between = (1..9).map { chunk(it, 8_000) }
                between.forEach(gateway::receive)
                gateway.forward()
                gateway.receive(LAST_CHUNK)
                val whole = "a".repeat(readBefore) + ('b'..'j').joinToString("") { it.toString().repeat(8_000) }
                bodyOf(gateway.sentOver(1)) shouldBe whole
            }
        }

        test("an upload that an attempt has taken beyond the retained length is not sent a second time") {
            val gateway = EmbeddedGateway()
            gateway.receive(HEAD + chunk(0, 40_000))
            gateway.forward()
            gateway.receive(chunk(1, 40_000))
            gateway.connections[0].read(REJECTION)
            gateway.ended.last().isBodyRetained shouldBe false
            gateway.forward()
            gateway.ended.last().outcome shouldBe AttemptOutcome.NotRun(NotRunCause.BodyReleased)
            gateway.connections.size shouldBe 1
        }

        test("reading the body pauses while no attempt takes it, and resumes with the next one") {
            val gateway = EmbeddedGateway()
            gateway.receive(HEAD + chunk(0, 8_000))
            gateway.forward()
            gateway.connections[0].read(REJECTION)
            (1..8).forEach { gateway.receive(chunk(it, 8_000)) }
            gateway.isReading shouldBe false
            gateway.forward()
            gateway.sentOver(1)
            gateway.isReading shouldBe true
        }
    })
