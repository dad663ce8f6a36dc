package cicadagauge.gateway.control

import cicadagauge.identity.Address
import io.netty.channel.embedded.EmbeddedChannel
import kotlin.time.Duration.Companion.hours

/** A client whose connections are embedded channels: what the other side sends is read when the test says so. */
internal class EmbeddedCalls {
    private val client = JsonHttpClient(EmbeddedChannel().eventLoop(), emptyMap()) { _, _, handler ->
        EmbeddedChannel(handler).also { connections += it }.newSucceededFuture()
    }

    /** The connections that were opened, in this order. */
    val connections = ArrayList<EmbeddedChannel>()

    /** Makes a call; returns its results, of which there must never be more than one. */
    fun call(reuse: ConnectionReuse = ConnectionReuse.Always, onResult: () -> Unit = {}): List<CallResult> {
        val results = ArrayList<CallResult>()
        val target = Address("127.0.0.1", 1)
        client.exchange(JsonCall(target, "/", "{}".toByteArray(), 1.hours, reuse = reuse)) {
            results += it
            onResult()
        }
        connections.forEach { connection ->
            connection.runPendingTasks()
            connection.releaseOutbound()
        }
        return results
    }
}

/** The statuses of [results]; null for a call that was lost. */
internal fun statuses(results: List<CallResult>): List<Int?> = results.map { (it as? CallResult.Answered)?.status }
