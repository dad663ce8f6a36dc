/*
 * Connections to upstreams. A connection carries one request at a time and is reused only if the request was sent and
 * the response received completely, so that a late response can never be taken for that of another request.
 */
package cicadagauge.gateway.upstream

import cicadagauge.gateway.TcpKeepAlive
import cicadagauge.gateway.UpstreamLimits
import cicadagauge.gateway.caller.Exchange
import cicadagauge.gateway.environment.Dialect
import cicadagauge.gateway.isConnectionRefused
import cicadagauge.identity.Address
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.timeout.IdleStateHandler
import java.util.concurrent.TimeUnit

/** Sends requests to upstreams, on [loop]. */
internal class UpstreamConnections(
    private val loop: EventLoop,
    private val limits: UpstreamLimits,
    private val dialect: Dialect,
) {
    private val pools = HashMap<Address, ConnectionPool>()

    /** The number of connections that are open or being opened. */
    val open: Int get() = pools.values.sumOf { it.open }

    /** Sends the request of [exchange] over [hop]; [onEnded] is called exactly once, with the outcome. */
    fun send(hop: Hop, exchange: Exchange, onEnded: (AttemptOutcome) -> Unit) {
        val pool = pools.getOrPut(hop.address) { ConnectionPool(hop.address) }
        val attempt = UpstreamAttempt(hop, exchange, loop, pool, onEnded)
        exchange.start(attempt)
        val reused = pool.takeIdle()
        when {
            reused != null -> attempt.sendOver(reused)
            pool.open >= hop.maxConnections -> attempt.end(AttemptOutcome.NotRun(NotRunCause.Busy))
            else -> pool.connect(attempt)
        }
    }

    /** Opens a connection to [address] and closes it; [onChecked] is called exactly once, with what it shows. */
    fun check(address: Address, onChecked: (UpstreamState) -> Unit) {
        bootstrap(ChannelInboundHandlerAdapter()).connect(address.host, address.port).addListener { result ->
            (result as ChannelFuture).channel().close()
            onChecked(stateShownBy(result.cause()))
        }
    }

    private fun stateShownBy(failure: Throwable?): UpstreamState = when {
        failure == null -> UpstreamState.Accepting
        failure.isConnectionRefused -> UpstreamState.Refusing
        else -> UpstreamState.Silent
    }

    private fun bootstrap(handler: ChannelHandler): Bootstrap =
        Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(handler)

    /** Closes every idle connection. */
    fun close(): Unit = pools.values.forEach { it.closeIdle() }

    /** The connections to one address. */
    inner class ConnectionPool(private val address: Address) {
        private val idle = ArrayDeque<Channel>()

        var open = 0
            private set

        fun takeIdle(): Channel? {
            while (idle.isNotEmpty()) idle.removeLast().let { if (it.isActive) return it }
            return null
        }

        fun addIdle(channel: Channel): Unit = idle.addLast(channel)

        fun closeIdle() {
            idle.forEach { it.close() }
            idle.clear()
        }

        fun connect(attempt: UpstreamAttempt) {
            open++
            TcpKeepAlive.enable(bootstrap(Initializer())).connect(address.host, address.port).addListener { result ->
                connected(result as ChannelFuture, attempt)
            }
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
            attempt.sendOver(result.channel())
        }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val idle = IdleStateHandler(0, 0, limits.idleTimeout.inWholeSeconds, TimeUnit.SECONDS)
            channel.pipeline().addLast(HttpClientCodec(), idle, UpstreamHandler(limits, dialect))
        }
    }
}
