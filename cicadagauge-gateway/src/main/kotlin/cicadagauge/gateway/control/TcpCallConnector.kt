package cicadagauge.gateway.control

import cicadagauge.gateway.TcpKeepAlive
import cicadagauge.identity.Address
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import kotlin.time.Duration

/** Opens TCP connections whose events are handled on [loop]. */
internal class TcpCallConnector(private val loop: EventLoop) : CallConnector {
    override fun connect(address: Address, timeout: Duration, handler: ChannelHandler): ChannelFuture {
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(handler)
        return TcpKeepAlive.enable(bootstrap).connect(address.host, address.port)
    }
}
