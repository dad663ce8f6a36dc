/*
 * Connections to upstreams. A connection carries one request at a time and is reused only if the request was sent, the
 * response received completely and nothing after it, so that a late or second response can never be taken for that of
 * another request. A connection never carries the same request twice, since a response names its request, but not the
 * attempt.
 */
package cicadagauge.gateway.upstream

import cicadagauge.gateway.UpstreamLimits
import cicadagauge.gateway.caller.Exchange
import cicadagauge.gateway.environment.Dialect
import cicadagauge.gateway.isConnectionRefused
import cicadagauge.identity.Address
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.timeout.IdleStateHandler
import java.util.concurrent.TimeUnit

/**
 * Sends requests to upstreams, on [loop]. [onUnsolicited] is called for each connection that is closed because bytes
 * arrived on it that no request had asked for, with the number of bytes that were read.
 */
internal class UpstreamConnections(
    private val loop: EventLoop,
    private val limits: UpstreamLimits,
    private val dialect: Dialect,
    private val connector: Connector = TcpConnector(loop, limits),
    private val onUnsolicited: (Address, Int) -> Unit,
) {
    private val pools = HashMap<Address, ConnectionPool>()

    /** The number of connections that are open or being opened. */
    val open: Int get() = pools.values.sumOf { it.open }

    /** Sends the request of [exchange] over [hop]; [onEnded] is called exactly once, with the outcome. */
    fun send(hop: Hop, exchange: Exchange, onEnded: (AttemptOutcome) -> Unit) {
        val pool = pools.getOrPut(hop.address) { ConnectionPool(hop.address) }
        val attempt = UpstreamAttempt(hop, exchange, loop, onEnded)
        if (!exchange.start(attempt)) return attempt.end(AttemptOutcome.NotRun(NotRunCause.BodyReleased))
        val reused = pool.takeIdle(exchange)
        when {
            reused != null -> pool.send(attempt, reused)
            pool.open >= hop.maxConnections && !pool.closeOneIdle() -> attempt.end(
                AttemptOutcome.NotRun(NotRunCause.Busy),
            )
            else -> pool.connect(attempt)
        }
    }

    /** Opens a connection to [address] and closes it; [onChecked] is called exactly once, with what it shows. */
    fun check(address: Address, onChecked: (UpstreamState) -> Unit) {
        connector.connect(address, ChannelInboundHandlerAdapter()).addListener { result ->
            (result as ChannelFuture).channel().close()
            onChecked(stateShownBy(result.cause()))
        }
    }

    private fun stateShownBy(failure: Throwable?): UpstreamState = when {
        failure == null -> UpstreamState.Accepting
        failure.isConnectionRefused -> UpstreamState.Refusing
        else -> UpstreamState.Silent
    }

    /** Closes every idle connection. */
    fun close(): Unit = pools.values.forEach { it.closeIdle() }

    /** The connections to one address. */
    inner class ConnectionPool(private val address: Address) {
        private val idle = ArrayDeque<Channel>()

        var open = 0
            private set

        /** Takes the connection that was used last and may carry the request of [exchange], or returns null. */
        fun takeIdle(exchange: Exchange): Channel? {
            val index = idle.indexOfLast { it.isActive && it.upstreamHandler().mayCarry(exchange) }
            return if (index < 0) null else idle.removeAt(index)
        }

        /** Closes the connection that has been idle for longest; returns false if none is idle. */
        fun closeOneIdle(): Boolean {
            val oldest = idle.removeFirstOrNull() ?: return false
            oldest.close()
            return true
        }

        fun send(attempt: UpstreamAttempt, channel: Channel) {
            if (!attempt.sendOver(channel)) idle.addLast(channel)
        }

        fun closeIdle() {
            idle.forEach { it.close() }
            idle.clear()
        }

        fun connect(attempt: UpstreamAttempt) {
            open++
            connector.connect(address, Initializer(this)).addListener { connected(it as ChannelFuture, attempt) }
        }

        private fun connected(result: ChannelFuture, attempt: UpstreamAttempt) {
            if (!result.isSuccess) {
                open--
                attempt.end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
                return
            }
            result.channel().closeFuture().addListener {
                open--
                idle.remove(result.channel())
            }
            send(attempt, result.channel())
        }

        fun createHandler(): UpstreamHandler = UpstreamHandler(limits, dialect, onIdle = idle::addLast) { bytes ->
            onUnsolicited(address, bytes)
        }
    }

    private inner class Initializer(private val pool: ConnectionPool) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val idle = IdleStateHandler(0, 0, limits.idleTimeout.inWholeSeconds, TimeUnit.SECONDS)
            val handler = pool.createHandler()
            channel.pipeline().addLast(UpstreamResponseDecoder(handler), HttpRequestEncoder(), idle, handler)
        }
    }
}

/** The handler of this connection to an upstream. */
internal fun Channel.upstreamHandler(): UpstreamHandler = pipeline().get(UpstreamHandler::class.java)
