package cicadagauge.bench.path

import cicadagauge.identity.Address
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress

/**
 * A minimal relay on Netty's HTTP codec, as the baseline for latency. Each caller connection has its own connection to
 * [target], and messages are parsed by the codec and forwarded unchanged.
 */
class BareRelay(private val group: EventLoopGroup, private val target: Address) {
    private var listener: Channel? = null

    /** The address that the relay listens on; valid after [start]. */
    val address: Address get() = Address("127.0.0.1", (listener?.localAddress() as InetSocketAddress).port)

    /** Starts listening on any free loopback port. */
    fun start(): BareRelay {
        listener = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpServerCodec(), CallerHandler())
                    }
                },
            )
            .bind("127.0.0.1", 0).sync().channel()
        return this
    }

    /** Stops listening; open connections stay. */
    fun close() {
        listener?.close()
    }

    private inner class CallerHandler : ChannelInboundHandlerAdapter() {
        private var targetChannel: Channel? = null

        override fun channelActive(context: ChannelHandlerContext) {
            val bootstrap = Bootstrap().group(context.channel().eventLoop()).channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(HttpClientCodec(), TargetHandler(context.channel()))
                        }
                    },
                )
            bootstrap.connect(target.host, target.port).addListener { result ->
                targetChannel = (result as ChannelFuture).channel()
                context.channel().config().isAutoRead = true
            }
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            targetChannel?.write(message) ?: ReferenceCountUtil.release(message)
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            targetChannel?.flush()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            targetChannel?.close()
        }
    }

    private class TargetHandler(private val callerChannel: Channel) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            callerChannel.write(message)
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            callerChannel.flush()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            callerChannel.close()
        }
    }
}
