package cicadagauge.gateway.upstream

import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Reason
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndlessRejectionTest :
    FunSpec({
        val notRun = "HTTP/1.1 503 Busy\r\nx-cicadagauge-verdict: not-run\r\n"
        val chunked = "${notRun}transfer-encoding: chunked\r\n\r\n"
        val sized = "${notRun}content-length: 4\r\n\r\n"
        val rejected = AttemptOutcome.NotRun(NotRunCause.Busy)

        test("a rejection ends the attempt as soon as its head is read") {
            for (head in listOf(chunked, sized, "$notRun\r\n", "${notRun}connection: close\r\n\r\n")) {
                val upstream = EmbeddedUpstream(NamingDialect)
                val outcomes = upstream.send()
                upstream.connections.single().read(head.dropLast(1))
                outcomes.shouldBeEmpty()
                upstream.connections.single().read(head.takeLast(1))
                withClue(head) { outcomes shouldContainExactly listOf(rejected) }
            }
        }

        test("a rejection without end is cut off within a turn of the event loop, after its attempt has ended") {
            val upstream = EmbeddedUpstream(NamingDialect)
            val outcomes = upstream.send()
            val connection = upstream.connections.single()
            val part = "1\r\nx\r\n".repeat(1_000)
            connection.readPart(chunked + part)
            outcomes shouldContainExactly listOf(rejected)
            var bytes = 0
            while (connection.isOpen && bytes < 1_000_000) {
                connection.readPart(part)
                bytes += part.length
            }
            bytes shouldBeLessThan 50_000
        }

        test("a home VM's refusal ends the attempt as soon as its head is read") {
            val upstream = EmbeddedUpstream(NamingDialect)
            val outcomes = upstream.send(isRelay = true)
            val reason = "x-cicadagauge-reason: ${Reason.Overloaded.code}"
            upstream.connections.single().read("HTTP/1.1 503 Busy\r\n$reason\r\ncontent-length: 4\r\n\r\n")
            val outcome = outcomes.single().shouldBeInstanceOf<AttemptOutcome.Refused>()
            outcome.refusal.reason shouldBe Reason.Overloaded
        }

        test("a rejection whose rest has no end is cut off, and stays a rejection") {
            val rests = listOf("1\r\nx\r\n", "3e8\r\n${"x".repeat(1_000)}\r\n", "1;${"e".repeat(99)}\r\nx\r\n", "0")
            val others = listOf(
                "${chunked}0\r\n" to "a: b\r\n",
                "$notRun\r\n" to "x",
                "${notRun}content-length: 9999999\r\n\r\n" to "x",
            )
            for ((start, rest) in rests.map { chunked to it } + others) {
                for (repetitions in listOf(1, 99)) {
                    val upstream = EmbeddedUpstream(NamingDialect)
                    val outcomes = upstream.send()
                    val connection = upstream.connections.single()
                    connection.read(start)
                    val bytes = connection.readEndlessly(rest.repeat(repetitions), maxBytes = 1_000_000)
                    withClue("$start|$rest: $bytes bytes") {
                        bytes shouldBeLessThan 200_000
                        connection.isOpen shouldBe false
                        outcomes shouldContainExactly listOf(rejected)
                        upstream.unsolicited.shouldBeEmpty()
                    }
                }
            }
        }

        test("a rejection whose rest does not come in time has its connection closed, and stays a rejection") {
            val upstream = EmbeddedUpstream(NamingDialect)
            val outcomes = upstream.send()
            val connection = upstream.connections.single()
            connection.read("${sized}x")
            connection.pass(900.milliseconds)
            connection.isOpen shouldBe true
            connection.read("x")
            connection.pass(1.seconds)
            connection.isOpen shouldBe false
            outcomes shouldContainExactly listOf(rejected)
        }

        test("a rejection whose rest is broken or breaks off stays a rejection") {
            for (parts in listOf(listOf("${chunked}x\r\n"), listOf(chunked, "x\r\n"))) {
                val upstream = EmbeddedUpstream(NamingDialect)
                val outcomes = upstream.send()
                parts.forEach { upstream.connections.single().read(it) }
                withClue(parts) {
                    outcomes shouldContainExactly listOf(rejected)
                    upstream.connections.single().isOpen shouldBe false
                }
            }
            val upstream = EmbeddedUpstream(NamingDialect)
            val outcomes = upstream.send()
            upstream.connections.single().read(sized)
            upstream.connections.single().close()
            upstream.connections.single().runPendingTasks()
            outcomes shouldContainExactly listOf(rejected)
        }

        test("a connection is used again after a complete rejection, wherever its bytes are split") {
            for (response in listOf("${sized}busy", "${chunked}4\r\nbusy\r\n0\r\na: b\r\n\r\n")) {
                for (split in 1 until response.length) {
                    val upstream = EmbeddedUpstream(NamingDialect)
                    val connection = { upstream.connections.single() }
                    val first = upstream.send()
                    connection().read(response.take(split))
                    connection().read(response.drop(split))
                    val second = upstream.send()
                    connection().read(response.take(split), response.drop(split))
                    // The drain of the first rejection must not close a connection that is in use again.
                    connection().pass(2.seconds)
                    withClue("${response.take(split)}|${response.drop(split)}") {
                        first shouldContainExactly listOf(rejected)
                        second shouldContainExactly listOf(rejected)
                        connection().isOpen shouldBe true
                    }
                }
            }
        }

        // Guards against a copy of a rejection that is taken for the answer to the next request on the connection.
        test("a connection is closed after a rejection that does not name its request") {
            val upstream = EmbeddedUpstream()
            val outcomes = upstream.send()
            upstream.connections.single().read("${sized}busy")
            outcomes shouldContainExactly listOf(rejected)
            upstream.connections.single().isOpen shouldBe false
        }

        test("a connection carries no other request while the rest of a rejection is outstanding") {
            val upstream = EmbeddedUpstream(NamingDialect)
            upstream.send()
            upstream.connections.single().read(sized)
            val second = upstream.send()
            upstream.connections.size shouldBe 2
            upstream.connections.first().read("busy")
            second.shouldBeEmpty()
            upstream.connections.last().read("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            second shouldContainExactly listOf(AttemptOutcome.Answered(200))
        }

        test("bytes after the rest of a rejection close the connection") {
            val reads = listOf(listOf("${sized}busy\r\n"), listOf(sized, "busy\r\n"), listOf(sized, "busy", "\r\n"))
            for (parts in reads) {
                val upstream = EmbeddedUpstream(NamingDialect)
                val outcomes = upstream.send()
                parts.forEach { upstream.connections.single().read(it) }
                withClue(parts) {
                    outcomes shouldContainExactly listOf(rejected)
                    upstream.connections.single().isOpen shouldBe false
                    upstream.unsolicited shouldContainExactly listOf(2)
                }
            }
        }

        test("a connection is closed if a rejection comes before the request is sent completely") {
            val upstream = EmbeddedUpstream(NamingDialect)
            val outcomes = upstream.send(isComplete = false)
            upstream.connections.single().read("${sized}busy")
            outcomes shouldContainExactly listOf(rejected)
            upstream.connections.single().isOpen shouldBe false
        }
    })
