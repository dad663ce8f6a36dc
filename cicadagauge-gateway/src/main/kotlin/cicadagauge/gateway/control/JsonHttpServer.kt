/*
 * A small HTTP server for JSON: the control port of a VM and the ports of the stand-ins. Each connection handles one
 * request at a time, with its complete body.
 */
package cicadagauge.gateway.control

import cicadagauge.identity.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContentDecompressor
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress

/** A request with its complete body. [path] is the request target, including any query. */
public class JsonRequest(
    public val method: String,
    public val path: String,
    public val body: ByteArray,
    private val headers: (String) -> String?,
) {
    /** The value of header [name], or null. */
    public fun header(name: String): String? = headers(name)
}

/** The response to a [JsonRequest]. */
public class JsonResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
    public val headers: Map<String, String> = emptyMap(),
)

/** Handles requests and passes each response to `answer`, at once or later; null closes the connection instead. */
public fun interface JsonHandler {
    public fun handle(request: JsonRequest, answer: (JsonResponse?) -> Unit)
}

/** Serves [handler] on [address] until it is closed. */
public class JsonHttpServer(
    private val group: EventLoopGroup,
    private val address: Address,
    private val handler: JsonHandler,
) {
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    /** The bound port, which differs from that of the address if that is 0. */
    public val port: Int get() = (listener?.localAddress() as? InetSocketAddress)?.port ?: address.port

    /** Binds the address; throws if that fails. */
    public fun start(): JsonHttpServer {
        val bootstrap = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer())
        listener = bootstrap.bind(address.host, address.port).sync().channel()
        return this
    }

    /** Stops listening and closes every connection. */
    public fun close() {
        listener?.close()?.sync()
        channels.close()
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channels.add(channel)
            channel.pipeline()
                .addLast(
                    HttpServerCodec(),
                    HttpContentDecompressor(MAX_BODY_BYTES),
                    HttpObjectAggregator(MAX_BODY_BYTES),
                    RequestHandler(),
                )
        }
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val bytes = ByteArray(request.content().readableBytes()).also { request.content().readBytes(it) }
            val headers = request.headers()
            val keepAlive = HttpUtil.isKeepAlive(request)
            val jsonRequest = JsonRequest(request.method().name(), request.uri(), bytes) { headers[it] }
            handler.handle(jsonRequest) { response ->
                context.executor().execute { reply(context, response, keepAlive) }
            }
        }

        private fun reply(context: ChannelHandlerContext, response: JsonResponse?, keepAlive: Boolean) {
            if (response == null) {
                context.close()
                return
            }
            val status = HttpResponseStatus.valueOf(response.status)
            val httpResponse =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(response.body))
            response.headers.forEach { (name, value) -> httpResponse.headers().set(name, value) }
            httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType)
            httpResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
            response.headers.forEach { (name, value) -> httpResponse.headers().set(name, value) }
            HttpUtil.setKeepAlive(httpResponse, keepAlive)
            val written = context.writeAndFlush(httpResponse)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 8 * 1_024 * 1_024
    }
}
