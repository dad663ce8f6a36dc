package cicadagauge.gateway.upstream

import cicadagauge.gateway.EmbeddedGateway
import cicadagauge.gateway.UpstreamLimits
import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.environment.Dialect
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.TruncationCause
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** A dialect whose upstreams may answer without a length. */
internal object UnframedDialect : Dialect by DefaultDialect {
    override val allowsCloseDelimitedBody = true
}

private const val REQUEST = "POST /loans HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nlo"
private const val UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"

/** The end of the upstream's data is read. */
private fun EmbeddedChannel.endData() {
    pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
    runPendingTasks()
}

class UnframedResponseTest :
    FunSpec({
        test("a response without a length is complete when the upstream ends its data") {
            val gateway = EmbeddedGateway(UnframedDialect)
            gateway.receive(REQUEST)
            gateway.forward()
            gateway.connections[0].read(UNFRAMED_HEAD + "whole")
            gateway.ended.shouldBeEmpty()
            gateway.connections[0].endData()
            gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Answered(200))
            gateway.answered() shouldContain "whole\r\n$LAST_CHUNK"
            gateway.connections[0].isOpen shouldBe false
        }

        // Guards against answers that were cut off and look complete to their callers (review case 4).
        val otherEnds = listOf<Triple<String, TruncationCause, (EmbeddedChannel) -> Unit>>(
            Triple("a write finds the connection reset", TruncationCause.ConnectionBroken) { it.close() },
            Triple("a read finds the connection reset", TruncationCause.ConnectionBroken) {
                it.pipeline().fireExceptionCaught(IOException("reset"))
            },
            Triple("the response makes no progress for too long", TruncationCause.Stalled) {
                it.pass(UpstreamLimits().responseProgress + 1.seconds)
            },
        )
        for ((title, cause, end) in otherEnds) {
            test("a response without a length is cut off when $title") {
                val gateway = EmbeddedGateway(UnframedDialect)
                gateway.receive(REQUEST)
                gateway.forward()
                gateway.connections[0].read(UNFRAMED_HEAD + "ha")
                end(gateway.connections[0])
                gateway.connections[0].runPendingTasks()
                gateway.ended.map { it.outcome } shouldContainExactly listOf(AttemptOutcome.Truncated(cause))
                gateway.answered() shouldNotContain LAST_CHUNK
                gateway.isConnected shouldBe false
            }
        }

        for (head in listOf("content-length: 9", "transfer-encoding: chunked")) {
            test("a response with '$head' is cut off when the upstream ends its data early") {
                val gateway = EmbeddedGateway(UnframedDialect)
                gateway.receive(REQUEST)
                gateway.forward()
                gateway.connections[0].read("HTTP/1.1 200 OK\r\n$head\r\n\r\n2\r\nha\r\n")
                gateway.connections[0].endData()
                gateway.ended.map { it.outcome } shouldContainExactly
                    listOf(AttemptOutcome.Truncated(TruncationCause.ConnectionBroken))
            }
        }

        test("an idle connection is closed when the upstream ends its data") {
            val gateway = EmbeddedGateway(UnframedDialect)
            gateway.receive("GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
            gateway.forward()
            gateway.connections[0].read("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            gateway.connections[0].isOpen shouldBe true
            gateway.connections[0].endData()
            gateway.connections[0].isOpen shouldBe false
        }
    })
