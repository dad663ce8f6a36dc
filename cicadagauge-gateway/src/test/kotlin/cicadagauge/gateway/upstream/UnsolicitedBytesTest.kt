package cicadagauge.gateway.upstream

import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.TruncationCause
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpMethod

class UnsolicitedBytesTest :
    FunSpec({
        val complete = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        val responses = listOf(
            complete,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\na: b\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 No Content\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n$complete",
        )
        val rests = listOf("\n", "\r\n", "\r\n\r\n", " ", "\u0000", "z", "HTTP/1.1 102 Processing\r\n\r\n", complete)
        val answered = AttemptOutcome.Answered(200)

        test("a connection is used again after each complete response, wherever its bytes are split") {
            for (response in responses) {
                for (split in 1 until response.length) {
                    val upstream = EmbeddedUpstream()
                    val first = upstream.send()
                    upstream.connections.single().read(response.take(split))
                    upstream.connections.single().read(response.drop(split))
                    val second = upstream.send()
                    upstream.connections.single().read(response.take(split), response.drop(split))
                    withClue("${response.take(split)}|${response.drop(split)}") {
                        first shouldContainExactly listOf(answered)
                        second shouldContainExactly listOf(answered)
                        upstream.connections.single().isOpen shouldBe true
                        upstream.unsolicited.shouldBeEmpty()
                    }
                }
            }
        }

        test("a connection is used again after responses without a body to GET and HEAD") {
            val upstream = EmbeddedUpstream()
            val cases = listOf(
                Triple(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", 200),
                Triple(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 200),
                Triple(HttpMethod.GET, "HTTP/1.1 204 No Content\r\n\r\n", 204),
                Triple(HttpMethod.GET, "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", 304),
                Triple(HttpMethod.GET, complete, 200),
            )
            for ((method, response, status) in cases) {
                val outcomes = upstream.send(method)
                upstream.connections.single().read(response)
                withClue(response) { outcomes shouldContainExactly listOf(AttemptOutcome.Answered(status)) }
            }
            upstream.connections.single().isOpen shouldBe true
        }

        test("any byte on an idle connection closes it, empty lines included") {
            for (rest in rests) {
                val upstream = EmbeddedUpstream()
                val outcomes = upstream.send()
                upstream.connections.single().read(complete)
                upstream.connections.single().isOpen shouldBe true
                upstream.connections.single().read(rest)
                withClue("'$rest'") {
                    outcomes shouldContainExactly listOf(answered)
                    upstream.connections.single().isOpen shouldBe false
                    upstream.unsolicited shouldContainExactly listOf(rest.length)
                }
            }
        }

        test("bytes that are read together with the end of a response close the connection") {
            for (response in responses) {
                for (rest in rests) {
                    val upstream = EmbeddedUpstream()
                    val outcomes = upstream.send()
                    upstream.connections.single().read(response + rest)
                    withClue("$response|$rest") {
                        outcomes shouldContainExactly listOf(answered)
                        upstream.connections.single().isOpen shouldBe false
                        upstream.unsolicited shouldContainExactly listOf(rest.length)
                    }
                }
            }
        }

        test("bytes that are read right after the end of a response close the connection") {
            for (rest in rests) {
                val upstream = EmbeddedUpstream()
                val outcomes = upstream.send()
                upstream.connections.single().read(complete.dropLast(1), complete.takeLast(1), rest)
                withClue("'$rest'") {
                    outcomes shouldContainExactly listOf(answered)
                    upstream.connections.single().isOpen shouldBe false
                    upstream.unsolicited shouldContainExactly listOf(rest.length)
                }
            }
        }

        test("a second response never reaches the next request, which is sent as soon as the first one has arrived") {
            for (parts in listOf(listOf(complete + complete), listOf(complete, complete))) {
                val upstream = EmbeddedUpstream()
                var second = emptyList<AttemptOutcome>()
                upstream.send { second = upstream.send() }
                upstream.connections.single().read(*parts.toTypedArray())
                withClue("reads: ${parts.size}") {
                    second.shouldBeEmpty()
                    upstream.connections.map { it.isOpen } shouldContainExactly listOf(false, true)
                    upstream.connections.last().read(complete)
                    second shouldContainExactly listOf(answered)
                }
            }
        }

        test("empty lines without end instead of a response end the attempt, however few bytes a read has") {
            for (length in listOf(1, 2, 1_000, 4_096, 60_000)) {
                val upstream = EmbeddedUpstream()
                val outcomes = upstream.send()
                val connection = upstream.connections.single()
                val bytes = connection.readEndlessly("\n".repeat(length), maxBytes = 1_000_000)
                withClue("$bytes bytes in reads of $length") {
                    bytes shouldBeLessThan 100_000
                    outcomes shouldContainExactly listOf(AttemptOutcome.Lost(timedOut = false))
                    connection.isOpen shouldBe false
                }
            }
        }

        test("a response after a few empty lines is passed on") {
            val upstream = EmbeddedUpstream()
            val outcomes = upstream.send()
            upstream.connections.single().read("\r\n\r\n$complete")
            outcomes shouldContainExactly listOf(answered)
        }

        test("the rest of a response that was cut off does not count as unsolicited") {
            val upstream = EmbeddedUpstream()
            val outcomes = upstream.send()
            val cutOff = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\n"
            upstream.connections.single().read("$cutOff$complete\r\n")
            outcomes shouldContainExactly listOf(AttemptOutcome.Truncated(TruncationCause.ConnectionBroken))
            upstream.connections.single().isOpen shouldBe false
            upstream.unsolicited.shouldBeEmpty()
        }
    })
