package cicadagauge.gateway.upstream

import cicadagauge.gateway.TcpKeepAlive
import cicadagauge.gateway.UpstreamLimits
import cicadagauge.identity.Address
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel

/**
 * Opens TCP connections whose events are handled on [loop]. They stay open when the end of the upstream's data is read,
 * which distinguishes it from every other way in which a connection ends; [UpstreamHandler] then closes them.
 */
internal class TcpConnector(private val loop: EventLoop, private val limits: UpstreamLimits) : Connector {
    override fun connect(address: Address, handler: ChannelHandler): ChannelFuture {
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(handler)
        return TcpKeepAlive.enable(bootstrap).connect(address.host, address.port)
    }
}
