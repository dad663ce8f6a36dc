package cicadagauge.gateway.upstream

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.EffectHandler
import cicadagauge.gateway.EventLoopMonitor
import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.NodeDriver
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.RequestRegistry
import cicadagauge.gateway.UpstreamLimits
import cicadagauge.gateway.caller.CallerHandler
import cicadagauge.gateway.caller.Exchange
import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.environment.Dialect
import cicadagauge.gateway.log.EventLog
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.Node
import cicadagauge.node.NodeStatus
import cicadagauge.outcome.AttemptOutcome
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** A dialect whose upstreams name the request in every response. */
internal object NamingDialect : Dialect by DefaultDialect {
    override fun namesRequest(response: HttpHeaders): Boolean = true
}

/** An upstream whose connections are embedded channels: what it sends is read when the test says so. */
internal class EmbeddedUpstream(dialect: Dialect = DefaultDialect) {
    private val loop = EmbeddedChannel().eventLoop()
    private val connector = Connector { _, handler ->
        EmbeddedChannel(handler).also { connections += it }.newSucceededFuture()
    }
    private val upstreams = UpstreamConnections(loop, UpstreamLimits(), dialect, connector) { address, bytes ->
        check(address == ADDRESS)
        unsolicited += bytes
    }
    private val registry = RequestRegistry(
        driver = NodeDriver(IdleNode, loop).apply { effectHandler = EffectHandler { } },
        connections = upstreams,
        metrics = GatewayMetrics { 0 },
        secret = "secret",
        dialect = dialect,
        log = EventLog(VmId("vm")) { Moment.ZERO },
        loopMonitor = EventLoopMonitor { Moment.ZERO },
        loop = loop,
    )

    /** The connections that were opened, in this order. */
    val connections = ArrayList<EmbeddedChannel>()

    /** The sizes of the reads for which connections were closed, because no request had asked for them. */
    val unsolicited = ArrayList<Int>()

    /** Sends a request; returns its outcomes, of which there must never be more than one. */
    fun send(
        method: HttpMethod = HttpMethod.POST,
        isComplete: Boolean = true,
        isRelay: Boolean = false,
        onEnded: () -> Unit = {},
    ): List<AttemptOutcome> {
        val caller = CallerHandler(registry, CallerLimits(), acceptsRelays = false)
        EmbeddedChannel(caller)
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/")
        val exchange = Exchange(registry.nextId(), request, caller, CallerLimits())
        if (isComplete) exchange.add(LastHttpContent.EMPTY_LAST_CONTENT)
        val hop = Hop(
            id = exchange.id,
            address = ADDRESS,
            maxConnections = MAX_CONNECTIONS,
            deadline = MonotonicClock.now() + 1.hours,
            isRelay = isRelay,
            receiver = "u",
            strippedHeaders = emptySet(),
            preservesHost = true,
            addHeaders = { headers, _ -> headers.set(ProtocolHeaders.DEADLINE, "1000") },
        )
        val outcomes = ArrayList<AttemptOutcome>()
        upstreams.send(hop, exchange) {
            outcomes += it
            onEnded()
        }
        connections.forEach { it.releaseOutbound() }
        return outcomes
    }

    private object IdleNode : Node {
        override fun handle(event: Event, now: Moment): List<Effect> = emptyList()

        override fun status(now: Moment): NodeStatus = error("not called in these tests")
    }

    private companion object {
        const val MAX_CONNECTIONS = 100
        val ADDRESS = Address("127.0.0.1", 1)
    }
}

/** Reads [parts] one after the other in one turn of the event loop, as from a socket that holds them all. */
internal fun EmbeddedChannel.read(vararg parts: String) {
    parts.forEach(::readPart)
    pipeline().fireChannelReadComplete()
    runPendingTasks()
}

/** Reads [part], and leaves the turn of the event loop open. */
internal fun EmbeddedChannel.readPart(part: String) {
    pipeline().fireChannelRead(alloc().buffer().writeBytes(part.toByteArray(Charsets.ISO_8859_1)))
}

/** Reads [text] over and over, until the channel is closed or [maxBytes] have been read; returns how many were. */
internal fun EmbeddedChannel.readEndlessly(text: String, maxBytes: Int): Int {
    var bytes = 0
    while (isOpen && bytes < maxBytes) {
        read(text)
        bytes += text.length
    }
    return bytes
}

/** Lets [duration] pass for the channel's timers. */
internal fun EmbeddedChannel.pass(duration: Duration) {
    freezeTime()
    advanceTimeBy(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    runScheduledPendingTasks()
}
