package cicadagauge.gateway.upstream

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.gateway.control.CallResult
import cicadagauge.gateway.control.EmbeddedCalls
import cicadagauge.gateway.control.statuses
import cicadagauge.outcome.AttemptOutcome
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.socket.ChannelInputShutdownEvent

private const val REQUEST = "GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
private const val INTERIM = "HTTP/1.1 102 Processing\r\n\r\n"
private const val ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

private const val HEAD_END = "\r\n\r\n"

private fun responseWith(status: String) = "HTTP/1.1 $status x\r\ncontent-length: 2\r\n\r\nok"

class InvalidResponseHeadTest :
    FunSpec({
        // Guards against an upstream in trouble whose status 000 was passed on as an answer.
        val invalid = mapOf(
            "status 000" to responseWith("000"),
            "status 99" to responseWith("99"),
            "status 600" to responseWith("600"),
            "status 999" to responseWith("999"),
            "another protocol that nobody asked for" to "HTTP/1.1 101 x\r\nupgrade: a\r\nconnection: upgrade\r\n\r\n",
            "two lengths" to "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
            "interim responses without end" to INTERIM.repeat(1_000),
        )
        for ((title, response) in invalid) {
            test("a response is no answer to a request: $title") {
                val gateway = EmbeddedGateway()
                gateway.receive(REQUEST)
                gateway.forward()
                gateway.connections[0].read(response)
                gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Lost(timedOut = false))
                gateway.answered() shouldNotContain "ok"
                gateway.connections[0].isOpen shouldBe false
            }

            test("a response is no answer to a call: $title") {
                val calls = EmbeddedCalls()
                val results = calls.call()
                calls.connections[0].read(response)
                results shouldContainExactly listOf(CallResult.Lost)
                calls.connections[0].isOpen shouldBe false
            }
        }

        // Guards against a success with an empty body, for which a head was taken whose connection ended within it.
        for (isRelay in listOf(false, true)) {
            test("a connection that ends within a head brings no answer, " + if (isRelay) "relayed" else "direct") {
                for (response in listOf(ANSWER, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")) {
                    for (length in 0 until response.indexOf(HEAD_END) + HEAD_END.length) {
                        val upstream = EmbeddedUpstream(UnframedDialect)
                        val outcomes = upstream.send(isRelay = isRelay)
                        val connection = upstream.connections.single()
                        connection.read(response.take(length))
                        connection.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
                        connection.runPendingTasks()
                        withClue(response.take(length)) {
                            outcomes shouldContainExactly listOf(AttemptOutcome.Lost(timedOut = false))
                        }
                    }
                }
            }
        }

        test("a few interim responses precede the answer to a request and to a call") {
            val gateway = EmbeddedGateway()
            gateway.receive(REQUEST)
            gateway.forward()
            gateway.connections[0].read(INTERIM, INTERIM)
            gateway.ended.shouldBeEmpty()
            gateway.connections[0].read(INTERIM + ANSWER)
            gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Answered(200))
            val calls = EmbeddedCalls()
            val results = calls.call()
            calls.connections[0].read(INTERIM, INTERIM)
            withClue("a call") { results.shouldBeEmpty() }
            calls.connections[0].read(ANSWER)
            statuses(results) shouldContainExactly listOf(200)
        }
    })
