/*
 * One caller's connection. Its requests are handled one at a time; pipelined ones wait. A request that can't be parsed
 * is refused and the connection closed, because the data that follows can't be interpreted reliably.
 */
package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.RequestRegistry
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil

/** Reads a caller's requests and writes the responses. */
internal class CallerHandler(
    private val registry: RequestRegistry,
    private val limits: CallerLimits,
    private val acceptsRelays: Boolean,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<HttpObject>()
    private var pipelinedRequests = 0
    private var pipelinedBytes = 0
    private var isBodyPaused = false
    private var isReadAheadPaused = false
    private var current: Exchange? = null
    private var isDiscardingBody = false
    private var keepAlive = true
    private var isClosing = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isClosing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        val exchange = current
        if (exchange == null || !exchange.isBodyComplete) return read(message)
        countPipelined(message, sign = 1)
        pipelined.addLast(message)
    }

    private fun countPipelined(message: HttpObject, sign: Int) {
        if (message is HttpRequest) pipelinedRequests += sign
        if (message is HttpContent) pipelinedBytes += sign * message.content().readableBytes()
    }

    /** Whether the caller's connection is open. Its end is noticed here before [channelInactive] is called. */
    val isConnected: Boolean get() = context.channel().isActive

    /** Whether no further request should be decoded, until the current one has been answered. */
    val isReadAheadFull: Boolean
        get() = pipelinedRequests >= limits.readAheadRequests || pipelinedBytes >= limits.readAheadBytes

    override fun channelReadComplete(context: ChannelHandlerContext) {
        context.flush()
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClosing = true
        pipelined.forEach(ReferenceCountUtil::release)
        pipelined.clear()
        val exchange = current ?: return
        current = null
        registry.callerDisconnected(exchange)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        current?.attempt?.pauseResponse(!context.channel().isWritable)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        val exchange = current
        if (event is IdleStateEvent && (exchange == null || !exchange.isBodyComplete)) context.close()
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Answers [exchange] with [refusal]. */
    fun refuse(exchange: Exchange, refusal: Refusal) {
        if (exchange !== current) return
        val response = RefusalResponse.of(refusal, registry.dialect)
        registry.dialect.addRefusalHeaders(response.headers(), exchange.request.headers())
        if (exchange.hasMoreBody) keepAlive = false
        setConnectionHeader(response)
        writeAndFlush(response)
        finish(exchange)
    }

    /** Forwards the head of an upstream's response. */
    fun begin(exchange: Exchange, response: HttpResponse) {
        exchange.hasResponseStarted = true
        if (exchange.hasMoreBody) keepAlive = false
        setConnectionHeader(response)
        context.write(response)
    }

    /** Forwards [content], a part of an upstream's response. */
    fun write(exchange: Exchange, content: HttpContent) {
        if (exchange !== current) {
            content.release()
            return
        }
        context.write(content)
        exchange.attempt?.pauseResponse(!context.channel().isWritable)
    }

    /** Sends what has been written so far. */
    fun flush() {
        context.flush()
    }

    /** Ends [exchange], whose complete response has been written. */
    fun end(exchange: Exchange) {
        if (exchange !== current) return
        context.flush()
        finish(exchange)
    }

    /** Closes the connection, because a response was cut short and must not be taken for complete. */
    fun abort(exchange: Exchange) {
        if (exchange !== current) return
        current = null
        exchange.discardReplayContent()
        isClosing = true
        context.close()
    }

    /** Closes the connection once the current request, if any, has been answered. */
    fun closeAfterCurrentRequest() {
        keepAlive = false
        if (current != null) return
        isClosing = true
        context.close()
    }

    /** Pauses or resumes reading the body of the current request. */
    fun pauseBody(pause: Boolean) {
        isBodyPaused = pause
        applyPauses()
    }

    /** Pauses or resumes reading what follows the current request. */
    fun pauseReadAhead(pause: Boolean) {
        if (pause) registry.recordReadAheadPause()
        isReadAheadPaused = pause
        applyPauses()
    }

    private fun applyPauses() {
        context.channel().config().isAutoRead = !isBodyPaused && !isReadAheadPaused
    }

    private fun read(message: HttpObject) {
        val result = message.decoderResult()
        if (result.isFailure) {
            ReferenceCountUtil.release(message)
            return refuseUnreadable(result)
        }
        if (message is HttpRequest) readHead(message)
        if (message is HttpContent) readBody(message)
    }

    private fun readHead(request: HttpRequest) {
        keepAlive = HttpUtil.isKeepAlive(request) && !registry.draining
        val exchange = Exchange(registry.nextId(), request, this, limits)
        current = exchange
        isDiscardingBody = false
        context.pipeline().get(ResponseEncoder::class.java).expect(request)
        val problem = problemOf(request)
        if (problem != null) return refuseWithoutNode(exchange, problem)
        if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(continueResponse())
        val relayed = if (acceptsRelays) registry.relayed(request) else null
        if (relayed != null) return registry.relayArrived(exchange, relayed)
        registry.requestArrived(exchange, mayHaveLeft = isReadAheadPaused)
    }

    private fun problemOf(request: HttpRequest): Refusal? {
        val path = request.uri()
        return when {
            request.protocolVersion() != HttpVersion.HTTP_1_1 && request.protocolVersion() != HttpVersion.HTTP_1_0 ->
                Refusal(Reason.BadRequest, "only HTTP/1.1 and HTTP/1.0 are spoken here")
            request.headers().getAll(HttpHeaderNames.HOST).size > 1 ->
                Refusal(Reason.BadRequest, "more than one host header")
            !path.startsWith("/") || path.startsWith(ProtocolHeaders.RESERVED_PATH) ->
                Refusal(Reason.NoRoute, "no route has this path")
            HttpUtil.getContentLength(request, -1L) > limits.maxBodyBytes ->
                Refusal(Reason.BodyTooLarge, "the body may have ${limits.maxBodyBytes} bytes at most")
            else -> null
        }
    }

    private fun refuseWithoutNode(exchange: Exchange, refusal: Refusal) {
        isDiscardingBody = true
        registry.recordRefusal(exchange, refusal)
        refuse(exchange, refusal)
    }

    private fun readBody(content: HttpContent) {
        val exchange = current
        if (exchange == null || isDiscardingBody) {
            content.release()
            return
        }
        exchange.add(content)
        if (exchange.bodyBytes > limits.maxBodyBytes) return refuseOversizedBody(exchange)
        if (exchange.shouldPause || exchange.attempt?.isWritable == false) pauseBody(true)
    }

    private fun refuseOversizedBody(exchange: Exchange) {
        val sent = exchange.attempt != null
        val reason = if (sent) Reason.BodyTooLargeMidway else Reason.BodyTooLarge
        val refusal = Refusal(reason, "the body may have ${limits.maxBodyBytes} bytes at most")
        registry.abandon(exchange, AttemptOutcome.CallerGone(sent))
        refuseWithoutNode(exchange, refusal)
    }

    private fun refuseUnreadable(result: DecoderResult) {
        val cause = result.cause()
        val refusal = if (cause is TooLongFrameException) {
            Refusal(Reason.HeaderTooLarge, "the request line or the headers are too long")
        } else {
            Refusal(Reason.BadRequest, "the request can't be read as HTTP")
        }
        val exchange = current
        if (exchange != null && (exchange.hasResponseStarted || exchange.attempt != null)) {
            registry.callerDisconnected(exchange)
            return abort(exchange)
        }
        if (exchange != null) registry.callerDisconnected(exchange)
        registry.recordUnreadable(refusal)
        isClosing = true
        val response = RefusalResponse.of(refusal, registry.dialect)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (registry.draining) keepAlive = false
        HttpUtil.setKeepAlive(response, keepAlive)
    }

    private fun writeAndFlush(response: HttpResponse) {
        context.writeAndFlush(response)
    }

    private fun finish(exchange: Exchange) {
        exchange.discardReplayContent()
        exchange.attempt = null
        current = null
        if (!keepAlive) {
            isClosing = true
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        pauseBody(false)
        val wasFull = isReadAheadFull
        while (pipelined.isNotEmpty() && (current == null || current?.isBodyComplete == false)) {
            val next = pipelined.removeFirst()
            countPipelined(next, sign = -1)
            read(next)
        }
        // In a task of its own, since this may be called while the decoder is at work.
        if (wasFull) context.executor().execute(::resumeReadAhead)
    }

    private fun resumeReadAhead() {
        if (isReadAheadFull || isClosing) return
        val decoder = context.pipeline().context(StrictRequestDecoder::class.java) ?: return
        (decoder.handler() as StrictRequestDecoder).resume(decoder)
    }

    private fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
}
