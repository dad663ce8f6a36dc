package cicadagauge.standins.upstream

import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.control.JsonResponse
import cicadagauge.identity.Address
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Slot
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Verdict
import cicadagauge.ownership.GrantOrder
import cicadagauge.store.Json
import com.fasterxml.jackson.core.JacksonException
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.util.UUID
import java.util.concurrent.TimeUnit

/**
 * Serves an [UpstreamModel] over HTTP. The response to a request that took effect echoes the received request as JSON.
 * Control paths, which require the header with [secret]: grant orders at `POST /.cicadagauge/grant`, and
 * `POST /.cicadagauge/drain`, `/resume` and `/cold`.
 */
public class UpstreamStandin(
    private val group: EventLoopGroup,
    private val address: Address,
    private val settings: UpstreamSettings,
    private val secret: String,
) {
    private val loop = group.next()
    private val model = UpstreamModel(settings, Incarnation(UUID.randomUUID().toString()), MonotonicClock.now())
    private val channels = DefaultChannelGroup(loop)
    private var listener: Channel? = null

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = (listener?.localAddress() as? InetSocketAddress)?.port ?: address.port

    /** Binds the address and serves requests; throws if binding fails. */
    public fun start(): UpstreamStandin {
        Json.warmUp()
        listener = ServerBootstrap().group(loop).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer())
            .bind(address.host, address.port).sync().channel()
        return this
    }

    /** Evaluates [query] on the event loop that owns the model and returns the result. */
    public fun <T> read(query: (UpstreamModel) -> T): T = loop.submit<T> { query(model) }.get()

    /** Closes the listener and every connection at once, as a crash would; open requests get no response. */
    public fun close() {
        listener?.close()?.sync()
        channels.close()
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channels.add(channel)
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), RequestHandler())
        }
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (request.uri().startsWith(ProtocolHeaders.RESERVED_PATH)) return control(context, request)
            val slot = request.headers()[ProtocolHeaders.SLOT]?.toIntOrNull()?.let(::Slot)
            when (val start = model.start(slot, MonotonicClock.now())) {
                is UpstreamModel.StartResult.Refused -> context.writeAndFlush(refusal(start.cause))
                is UpstreamModel.StartResult.Started -> serve(context, echo(request), start)
            }
        }

        private fun serve(context: ChannelHandlerContext, echo: RequestEcho, start: UpstreamModel.StartResult.Started) {
            val finish = {
                val effective = model.finish(start, MonotonicClock.now())
                context.writeAndFlush(if (effective) jsonResponse(OK, echo) else refusal(NotRunCause.NotOwner))
            }
            if (!start.duration.isPositive()) {
                finish()
                return
            }
            loop.schedule(finish, start.duration.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }

        private fun control(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (request.headers()[ProtocolHeaders.SECRET] != secret) {
                context.writeAndFlush(jsonResponse(FORBIDDEN, null))
                return
            }
            val now = MonotonicClock.now()
            when (request.uri().removePrefix(ProtocolHeaders.RESERVED_PATH)) {
                "/grant" -> return grant(context, request)
                "/drain" -> model.setDraining(true)
                "/resume" -> model.setDraining(false)
                "/cold" -> model.beginColdPeriod(now)
                else -> {
                    context.writeAndFlush(jsonResponse(NOT_FOUND, null))
                    return
                }
            }
            context.writeAndFlush(jsonResponse(OK, null))
        }

        private fun grant(context: ChannelHandlerContext, request: FullHttpRequest) {
            val bytes = ByteArray(request.content().readableBytes()).also { request.content().readBytes(it) }
            val response = try {
                val order = Json.mapper.readValue(bytes, GrantOrder::class.java)
                jsonResponse(OK, model.grant(order, MonotonicClock.now()))
            } catch (_: JacksonException) {
                jsonResponse(BAD_REQUEST, null)
            }
            context.writeAndFlush(response)
        }

        @Deprecated("Overrides a method that is deprecated in Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private data class RequestEcho(
        val upstream: String,
        val method: String,
        val path: String,
        val slot: String?,
        val bodyBytes: Int,
    )

    private fun echo(request: FullHttpRequest) = RequestEcho(
        upstream = settings.id.value,
        method = request.method().name(),
        path = request.uri(),
        slot = request.headers()[ProtocolHeaders.SLOT],
        bodyBytes = request.content().readableBytes(),
    )

    private fun refusal(cause: NotRunCause): FullHttpResponse = jsonResponse(UNAVAILABLE, null).apply {
        headers().set(ProtocolHeaders.VERDICT, Verdict.NotRun.code)
        headers().set(ProtocolHeaders.REASON, reason(cause))
    }

    private fun reason(cause: NotRunCause): String = when (cause) {
        NotRunCause.NotOwner -> "not-owner"
        NotRunCause.Draining -> "draining"
        // The model never returns Unreachable.
        NotRunCause.Busy, NotRunCause.Unreachable, NotRunCause.BodyReleased -> "busy"
    }

    private fun jsonResponse(status: Int, body: Any?): FullHttpResponse {
        val bytes = if (body == null) ByteArray(0) else Json.mapper.writeValueAsBytes(body)
        val content = Unpooled.wrappedBuffer(bytes)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, JsonResponse(status).contentType)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        return response
    }

    private companion object {
        const val MAX_BODY_BYTES = 32 * 1_024 * 1_024
        const val OK = 200
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
