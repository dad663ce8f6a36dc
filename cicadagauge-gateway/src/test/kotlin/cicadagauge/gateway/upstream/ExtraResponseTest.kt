package cicadagauge.gateway.upstream

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.environment.Dialect
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpHeaders

/** A dialect whose upstreams return the id of the request that they answer. */
private object EchoingDialect : Dialect by DefaultDialect {
    override fun requestId(headers: HttpHeaders): String? = headers["id"]

    override fun isResponseTo(status: Int, response: HttpHeaders, request: HttpHeaders): Boolean =
        response["id"] == request["id"]

    override fun namesRequest(response: HttpHeaders): Boolean = response.contains("id")
}

private fun request(id: Int) = "POST /loans HTTP/1.1\r\nhost: h\r\nid: $id\r\ncontent-length: 0\r\n\r\n"

private fun rejection(id: Int) =
    "HTTP/1.1 503 Busy\r\nid: $id\r\nx-cicadagauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n"

private fun answer(id: Int) = "HTTP/1.1 200 OK\r\nid: $id\r\ncontent-length: 2\r\n\r\nok"

class ExtraResponseTest :
    FunSpec({
        val busy = AttemptOutcome.NotRun(NotRunCause.Busy)

        // Guards against a request that is reported as not run while it runs: a late copy of the rejection of its
        // first attempt was taken for the answer to the second (review case 2).
        for (dialect in listOf(EchoingDialect, DefaultDialect)) {
            test("a connection on which a request was rejected doesn't carry it again: ${dialect::class.simpleName}") {
                val gateway = EmbeddedGateway(dialect)
                gateway.receive(request(1))
                gateway.forward()
                gateway.connections[0].read(rejection(1))
                gateway.forward()
                gateway.connections.size shouldBe 2
                gateway.connections[0].read(rejection(1))
                gateway.connections[1].read(answer(1))
                gateway.ended.map { it.outcome } shouldContainExactly listOf(busy, AttemptOutcome.Answered(200))
                gateway.connections.map { it.isOpen } shouldContainExactly listOf(false, true)
            }
        }

        test("a connection on which a request was rejected carries other requests, but not that one later") {
            val gateway = EmbeddedGateway(EchoingDialect)
            gateway.receive(request(1))
            gateway.forward()
            gateway.connections[0].read(rejection(1))
            gateway.forward()
            gateway.connections[1].read(rejection(1))
            gateway.forward()
            withClue("both connections have carried the request, and there may be two: one makes room for a third") {
                gateway.connections.map { it.isOpen } shouldContainExactly listOf(false, true, true)
            }
            gateway.connections[2].read(answer(1))
            gateway.receive(request(2))
            gateway.forward()
            gateway.connections[2].read(answer(2))
            gateway.ended.last().outcome shouldBe AttemptOutcome.Answered(200)
            gateway.connections.size shouldBe 3
        }

        test("a copy of an answer to an earlier request never counts as the answer to the present one") {
            val gateway = EmbeddedGateway(EchoingDialect)
            gateway.receive(request(1))
            gateway.forward()
            gateway.connections[0].read(answer(1))
            gateway.receive(request(2))
            gateway.forward()
            gateway.connections[0].read(rejection(1))
            gateway.ended.last().outcome shouldBe AttemptOutcome.Lost(timedOut = false)
        }

        test("a connection on which many requests were rejected is closed") {
            val gateway = EmbeddedGateway(EchoingDialect)
            for (id in 1..65) {
                gateway.connections.size shouldBe minOf(id - 1, 1)
                gateway.receive(request(id))
                gateway.forward()
                gateway.connections[0].read(rejection(id))
                gateway.refuse()
            }
            gateway.connections.single().isOpen shouldBe false
        }
    })
