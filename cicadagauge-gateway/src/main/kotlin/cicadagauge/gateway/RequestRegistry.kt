package cicadagauge.gateway

import cicadagauge.gateway.caller.Exchange
import cicadagauge.gateway.caller.NettyRequestHead
import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.environment.Dialect
import cicadagauge.gateway.log.EventLog
import cicadagauge.gateway.memory.EvictionRank
import cicadagauge.gateway.memory.HolderState
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.gateway.upstream.Hop
import cicadagauge.gateway.upstream.RelayHeader
import cicadagauge.gateway.upstream.UpstreamConnections
import cicadagauge.identity.RequestId
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.RelayedRequest
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.Refusal
import cicadagauge.quarantine.RequestDigests
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpRequest
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Tracks open requests and connects callers, the node that decides about requests and the upstreams that run them. */
internal class RequestRegistry(
    private val driver: NodeDriver,
    private val connections: UpstreamConnections,
    private val metrics: GatewayMetrics,
    private val secret: String,
    val dialect: Dialect,
    private val log: EventLog,
    private val loopMonitor: EventLoopMonitor,
    private val loop: EventLoop,
) {
    private val deploymentSecret = DeploymentSecret(secret)
    private val exchanges = HashMap<RequestId, Exchange>()
    private var lastId = 0L

    /** Whether this process is stopping: connections are then closed after the current response. */
    var draining = false

    /** The number of requests that have not been answered. */
    val open: Int get() = exchanges.size

    /** Returns a new id for the next request. */
    fun nextId(): RequestId = RequestId(++lastId)

    /**
     * Hands a new request to the node. [mayHaveLeft] says that the caller's connection was not read to its end, so that
     * the caller may have disconnected already.
     */
    fun requestArrived(exchange: Exchange, mayHaveLeft: Boolean = false) {
        exchanges[exchange.id] = exchange
        val head = NettyRequestHead(exchange.request, dialect, loopMonitor.lag())
        afterPendingDisconnects(exchange, mayHaveLeft) { driver.submit(Event.RequestArrived(exchange.id, head)) }
    }

    /** Hands a request that another VM has relayed to the node. */
    fun relayArrived(exchange: Exchange, relayed: RelayedRequest) {
        exchanges[exchange.id] = exchange
        exchange.customer = relayed.customer
        exchange.requestClass = relayed.requestClass
        exchange.isRelayed = true
        val timeLeft = (DefaultDialect.deadline(exchange.request.headers()) ?: Duration.ZERO) - loopMonitor.lag()
        val head = NettyRequestHead(exchange.request, dialect, readLag = Duration.ZERO)
        afterPendingDisconnects(exchange) { driver.submit(Event.RelayArrived(exchange.id, relayed, head, timeLeft)) }
    }

    /**
     * Calls [submit] after the connections that are ready have been read, and only if the caller has not disconnected
     * by then. Where it [mayHaveLeft], and after a stall, this is one turn of the event loop later: connections that
     * were accepted during a stall are read in two turns.
     */
    private fun afterPendingDisconnects(exchange: Exchange, mayHaveLeft: Boolean = false, submit: () -> Unit) {
        val submitIfOpen = { if (exchange.id in exchanges && exchange.caller.isConnected) submit() }
        if (!loopMonitor.isRecovering && !mayHaveLeft) return loop.execute(submitIfOpen)
        loop.execute { loop.schedule(submitIfOpen, NEXT_TURN_DELAY_MILLIS, TimeUnit.MILLISECONDS) }
    }

    /** The relay data of [request] if it carries the secret of this deployment, or null. */
    fun relayed(request: HttpRequest): RelayedRequest? {
        val header = request.headers()[ProtocolHeaders.RELAY] ?: return null
        val isAuthenticated = deploymentSecret.matches(request.headers()[ProtocolHeaders.SECRET])
        return if (isAuthenticated) RelayHeader.read(header) else null
    }

    /** Records that [exchange] was refused without asking the node. */
    fun recordRefusal(exchange: Exchange, refusal: Refusal) {
        exchanges -= exchange.id
        metrics.countRefusal(refusal.reason)
    }

    /** Records the refusal of input that can't be parsed as a request. */
    fun recordUnreadable(refusal: Refusal) {
        metrics.countRefusal(refusal.reason)
    }

    /** Records that a connection was closed to make room for another one. */
    fun recordEviction(rank: EvictionRank) {
        metrics.countClosed("evicted-${rank.name}")
        log.write("connection-evicted", "state" to rank)
    }

    /** Records that a new connection was closed, because there is no room for it. */
    fun recordNoRoom() {
        metrics.countClosed("no-room")
        log.write("connection-refused")
    }

    /** Records that a connection is closed because a request has made no progress, [isInHead] or in its body. */
    fun recordSlowRequest(isInHead: Boolean) {
        metrics.countClosed(if (isInHead) "slow-head" else "slow-body")
        log.write("request-too-slow", "part" to if (isInHead) "head" else "body")
    }

    /** Records that a connection in [state] that holds [bytes] is given up, because this VM's memory is full. */
    fun recordGivenUp(state: HolderState, bytes: Long) {
        metrics.countClosed("memory-${state.name}")
        log.write("memory-given-up", "state" to state, "bytes" to bytes)
    }

    /** Records that a caller sends so far ahead that reading from its connection pauses. */
    fun recordReadAheadPause() {
        metrics.countReadAheadPause()
        log.write("read-ahead-paused")
    }

    /** Ends [exchange], whose caller has disconnected. */
    fun callerDisconnected(exchange: Exchange) {
        if (exchanges.remove(exchange.id) == null) return
        val attempt = exchange.attempt
        if (attempt == null) driver.submit(Event.CallerDisconnected(exchange.id)) else attempt.cancel()
        exchange.discardReplayContent()
    }

    /**
     * Ends [exchange] without an answer: its attempt ends with [outcome]; if there is none, the node is told that the
     * caller has left.
     */
    fun abandon(exchange: Exchange, outcome: AttemptOutcome) {
        exchanges -= exchange.id
        val attempt = exchange.attempt
        if (attempt == null) driver.submit(Event.CallerDisconnected(exchange.id)) else attempt.end(outcome)
    }

    /** Sends a request to an upstream, as the node has decided. */
    fun forward(effect: Effect.Forward) {
        if (effect.isRepeat) metrics.countRepeat(effect.pool)
        send(Hop.of(effect, dialect))
    }

    /** Sends a request to its home VM, as the node has decided. */
    fun relay(effect: Effect.Relay) {
        if (effect.isRepeat) metrics.countRepeat(effect.request.pool)
        send(Hop.of(effect, secret, dialect))
    }

    private fun send(hop: Hop) {
        val exchange = exchanges[hop.id]
        if (exchange == null) {
            driver.submit(Event.AttemptEnded(hop.id, AttemptOutcome.CallerGone(sent = false)))
            return
        }
        connections.send(hop, exchange) { outcome -> attemptEnded(exchange, hop, outcome) }
    }

    /** Tells the node the digest of a request's body as soon as it is known. */
    fun awaitBody(effect: Effect.AwaitBody) {
        exchanges[effect.id]?.awaitBodyDigest { body ->
            // In a turn of its own, because the node may answer the request, while the caller's data is being read.
            loop.execute { driver.submit(Event.BodyRead(effect.id, body)) }
        }
    }

    /** Refuses a request, as the node has decided. */
    fun refuse(effect: Effect.Refuse) {
        val exchange = exchanges.remove(effect.id) ?: return
        metrics.countRefusal(effect.refusal.reason)
        recordDuration(exchange)
        logRefusal(exchange, effect.refusal)
        exchange.caller.refuse(exchange, effect.refusal)
    }

    /** Records the customer and the class of a request. */
    fun attribute(effect: Effect.Classify) {
        val exchange = exchanges[effect.id] ?: return
        exchange.customer = effect.customer
        exchange.requestClass = effect.requestClass
    }

    private fun logRefusal(exchange: Exchange, refusal: Refusal): Unit = log.write(
        "request-refused",
        "request" to dialect.requestId(exchange.request.headers()),
        "fingerprint" to fingerprintOf(exchange),
        "customer" to exchange.customer,
        "class" to exchange.requestClass,
        "relayed" to exchange.isRelayed,
        "reason" to refusal.reason.code,
        "verdict" to refusal.reason.verdict.code,
        "detail" to refusal.detail,
        "retryAfterMillis" to refusal.retryAfter?.inWholeMilliseconds,
        "afterMillis" to (MonotonicClock.now() - exchange.arrivedAt).inWholeMilliseconds,
    )

    private fun logAttempt(exchange: Exchange, hop: Hop, outcome: AttemptOutcome): Unit = log.write(
        "attempt-ended",
        "request" to dialect.requestId(exchange.request.headers()),
        "fingerprint" to fingerprintOf(exchange),
        "customer" to exchange.customer,
        "to" to hop.receiver,
        "address" to hop.address,
        "relay" to hop.isRelay,
        "slot" to hop.slot,
        "version" to hop.version,
        "outcome" to outcome,
        "afterMillis" to (MonotonicClock.now() - exchange.arrivedAt).inWholeMilliseconds,
    )

    private fun attemptEnded(exchange: Exchange, hop: Hop, outcome: AttemptOutcome) {
        if (outcome !is AttemptOutcome.Answered) logAttempt(exchange, hop, outcome)
        exchange.attempt = null
        when (outcome) {
            is AttemptOutcome.Answered -> {
                exchanges -= exchange.id
                metrics.countResponse(outcome.status)
                recordDuration(exchange)
                exchange.caller.end(exchange)
            }
            is AttemptOutcome.Truncated -> {
                exchanges -= exchange.id
                metrics.countTruncated(outcome.cause)
                exchange.caller.abort(exchange)
            }
            else -> Unit
        }
        val isBodyRetained = exchange.isBodyRetained
        driver.submit(Event.AttemptEnded(exchange.id, outcome, exchange.bodyDigest, isBodyRetained))
    }

    /** What identifies the content of the request in the log, or null if too little of its body has been read. */
    private fun fingerprintOf(exchange: Exchange): String? {
        val body = exchange.bodyDigest ?: return null
        val head = NettyRequestHead(exchange.request, dialect, readLag = Duration.ZERO)
        return "${RequestDigests.of(head)}-$body"
    }

    private fun recordDuration(exchange: Exchange) {
        if (exchange.isRelayed) return
        metrics.observeDuration(exchange.customer, exchange.requestClass, MonotonicClock.now() - exchange.arrivedAt)
    }

    private companion object {
        /** A task with a delay runs only after the event loop has polled its connections again. */
        const val NEXT_TURN_DELAY_MILLIS = 1L
    }
}
