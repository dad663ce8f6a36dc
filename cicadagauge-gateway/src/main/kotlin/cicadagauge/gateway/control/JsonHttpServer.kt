/*
 * A small HTTP server for JSON: the control port of a VM and the ports of the stand-ins. Each connection handles one
 * request at a time, with its complete body.
 */
package cicadagauge.gateway.control

import cicadagauge.gateway.CompleteHeadDecoder
import cicadagauge.gateway.caller.ResponseEncoder
import cicadagauge.gateway.memory.ConnectionTable
import cicadagauge.gateway.memory.Evictable
import cicadagauge.gateway.memory.EvictionRank
import cicadagauge.identity.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpContentDecompressor
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
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

    /** How long the body of a request may be, in bytes, given its headers by name. */
    public fun maxBodyBytes(header: (String) -> String?): Int = MAX_BODY_BYTES

    public companion object {
        /** The longest body that is read in any case, in bytes. */
        public const val MAX_BODY_BYTES: Int = 8 * 1_024 * 1_024
    }
}

/**
 * Serves [handler] on [address] until it is closed. Where there are [maxConnections], a further one takes the place of
 * one that carries no request; connections of those who may send long bodies are kept.
 */
public class JsonHttpServer(
    private val group: EventLoopGroup,
    private val address: Address,
    private val maxConnections: Int? = null,
    private val handler: JsonHandler,
) {
    private val table = ConnectionTable<RequestHandler>(maxConnections ?: Int.MAX_VALUE)
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
            val decoder = TurnDecoder()
            val requestHandler = RequestHandler(channel, decoder)
            val hasRoom = synchronized(table) { table.add(requestHandler) }
            if (!hasRoom) {
                channel.close()
                return
            }
            channel.closeFuture().addListener { synchronized(table) { table.remove(requestHandler) } }
            channels.add(channel)
            channel.pipeline().addLast(
                decoder,
                ResponseEncoder(),
                BodyGuard(requestHandler),
                HttpContentDecompressor(JsonHandler.MAX_BODY_BYTES),
                HttpObjectAggregator(JsonHandler.MAX_BODY_BYTES),
                requestHandler,
            )
        }
    }

    /** Decodes a request only after the one before it has been answered and the answer has been read. */
    private class TurnDecoder : CompleteHeadDecoder(MAX_HEAD_BYTES, HttpDecoderConfig()) {
        var isBusy = false

        override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
            if (!isBusy) super.decode(context, buffer, out)
        }

        fun resume(context: ChannelHandlerContext) {
            isBusy = false
            if (actualReadableBytes() > 0) channelRead(context, Unpooled.EMPTY_BUFFER)
        }
    }

    /** Rejects requests whose bodies are longer than [JsonHandler.maxBodyBytes] before they are collected. */
    private inner class BodyGuard(private val requestHandler: RequestHandler) : ChannelInboundHandlerAdapter() {
        private var maxBytes = 0
        private var bytes = 0L
        private var isRejected = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) readHead(message)
            if (message is HttpContent) bytes += message.content().readableBytes()
            if (bytes <= maxBytes && !isRejected) {
                context.fireChannelRead(message)
                return
            }
            ReferenceCountUtil.release(message)
            if (!isRejected) reject(context)
            isRejected = true
        }

        private fun readHead(request: HttpRequest) {
            maxBytes = handler.maxBodyBytes { request.headers()[it] }
            requestHandler.isTrusted = maxBytes == JsonHandler.MAX_BODY_BYTES
            val isCompressed = request.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
            bytes =
                if (isCompressed &&
                    !requestHandler.isTrusted
                ) {
                    Long.MAX_VALUE
                } else {
                    HttpUtil.getContentLength(request, 0L)
                }
            if (bytes <= maxBytes) bytes = 0
        }

        private fun reject(context: ChannelHandlerContext) {
            val response =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
            HttpUtil.setKeepAlive(response, false)
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }

    /** Closes connections on which a request has been arriving for long; called once a second, on the event loop. */
    internal fun closeStalled() {
        synchronized(table) { table.all }.forEach { it.checkProgress() }
    }

    private inner class RequestHandler(private val channel: Channel, private val decoder: TurnDecoder) :
        SimpleChannelInboundHandler<FullHttpRequest>(),
        Evictable {
        private var checksWithoutRequest = 0

        /** Whether the last request may have had a long body. */
        var isTrusted = false

        override val evictionRank: EvictionRank?
            get() = when {
                isTrusted -> null
                decoder.isBusy -> EvictionRank.NotReading
                else -> EvictionRank.BetweenRequests
            }

        override fun evict() {
            channel.close()
        }

        override fun handlerAdded(context: ChannelHandlerContext) {
            this.context = context
        }

        private lateinit var context: ChannelHandlerContext

        fun checkProgress() {
            val isArriving = !decoder.isBusy && decoder.isInRequest
            checksWithoutRequest = if (isArriving) checksWithoutRequest + 1 else 0
            if (checksWithoutRequest > MAX_REQUEST_SECONDS) channel.close()
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            synchronized(table) { table.touch(this) }
            context.fireChannelReadComplete()
        }

        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            decoder.isBusy = true
            channel.config().isAutoRead = false
            context.pipeline().get(ResponseEncoder::class.java).expect(request)
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
            if (keepAlive) written.addListener { resume() } else written.addListener(ChannelFutureListener.CLOSE)
        }

        private fun resume() {
            if (!channel.isActive) return
            channel.config().isAutoRead = true
            decoder.resume(context.pipeline().context(decoder))
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAX_HEAD_BYTES = 12_288

        /** How long a request may take to arrive, in seconds. */
        const val MAX_REQUEST_SECONDS = 10
    }
}
