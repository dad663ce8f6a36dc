package cicadagauge.gateway

import cicadagauge.gateway.caller.CallerHandler
import cicadagauge.gateway.caller.ResponseEncoder
import cicadagauge.gateway.caller.StrictRequestDecoder
import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.environment.Dialect
import cicadagauge.gateway.upstream.Connector
import cicadagauge.gateway.upstream.UpstreamConnections
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import io.netty.buffer.ByteBuf
import io.netty.channel.embedded.EmbeddedChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** A caller's connection and those to one upstream, all embedded channels; the test decides in place of the node. */
internal class EmbeddedGateway(dialect: Dialect = DefaultDialect) {
    private val node = RecordingNode()
    private var now = Moment.ZERO + 10.seconds
    private val caller = EmbeddedChannel()
    private val sent = ArrayList<StringBuilder>()
    private val connector = Connector { _, handler ->
        sent += StringBuilder()
        EmbeddedChannel(handler).also { connections += it }.newSucceededFuture()
    }
    private val upstreams = UpstreamConnections(caller.eventLoop(), UpstreamLimits(), dialect, connector) { _, _ -> }
    private val registry = node.registry(caller.eventLoop(), EventLoopMonitor { now }, upstreams)

    /** The connections to the upstream, in the order in which they were opened. */
    val connections = ArrayList<EmbeddedChannel>()

    /** Whether the caller's connection is being read. */
    val isReading: Boolean get() = caller.config().isAutoRead

    /** Whether the caller's connection is open. */
    val isConnected: Boolean get() = caller.isActive

    /** The attempts that have ended. */
    val ended: List<Event.AttemptEnded> get() = node.events.filterIsInstance<Event.AttemptEnded>()

    init {
        val limits = CallerLimits()
        val handler = CallerHandler(registry, limits, acceptsRelays = false)
        caller.pipeline().addLast(StrictRequestDecoder(limits, handler), ResponseEncoder(), handler)
    }

    /** Receives [text] from the caller. */
    fun receive(text: String) {
        caller.writeInbound(caller.alloc().buffer().writeBytes(text.toByteArray(Charsets.ISO_8859_1)))
        repeat(2) {
            caller.advanceTimeBy(1, TimeUnit.MILLISECONDS)
            caller.runPendingTasks()
            caller.runScheduledPendingTasks()
        }
    }

    /** Sends the request that has arrived last to the upstream. */
    fun forward() {
        val id = node.events.filterIsInstance<Event.RequestArrived>().last().id
        registry.forward(
            Effect.Forward(
                id = id,
                upstream = UpstreamId("u"),
                address = Address("127.0.0.1", 1),
                connections = MAX_CONNECTIONS,
                slot = null,
                version = null,
                deadline = MonotonicClock.now() + 1.hours,
                pool = PoolName("p"),
            ),
        )
    }

    /** Lets the deadline of the request that was sent last pass. */
    fun passDeadline() {
        caller.advanceTimeBy(1, TimeUnit.HOURS)
        caller.runScheduledPendingTasks()
    }

    /** Refuses the request that has arrived last. */
    fun refuse() {
        val id = node.events.filterIsInstance<Event.RequestArrived>().last().id
        registry.refuse(Effect.Refuse(id, Refusal(Reason.UpstreamBusy, "rejected")))
    }

    /** What has been sent over the connection with number [index] so far. */
    fun sentOver(index: Int): String {
        connections[index].runPendingTasks()
        generateSequence { connections[index].readOutbound<ByteBuf>() }.forEach {
            sent[index].append(it.toString(Charsets.ISO_8859_1))
            it.release()
        }
        return sent[index].toString()
    }

    /** What has been sent to the caller since the last call. */
    fun answered(): String = generateSequence { caller.readOutbound<ByteBuf>() }.joinToString("") {
        it.toString(Charsets.ISO_8859_1).also { _ -> it.release() }
    }

    private companion object {
        const val MAX_CONNECTIONS = 2
    }
}
