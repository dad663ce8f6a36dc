/*
 * One caller's connection. Its requests are handled one at a time; pipelined ones wait. A request that can't be parsed
 * is refused and the connection closed, because the data that follows can't be interpreted reliably.
 */
package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.RequestRegistry
import cicadagauge.gateway.memory.Evictable
import cicadagauge.gateway.memory.EvictionRank
import cicadagauge.gateway.memory.Holder
import cicadagauge.gateway.memory.HolderState
import cicadagauge.gateway.memory.MemoryAccount
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
    account: MemoryAccount = MemoryAccount(),
    private val onRead: (CallerHandler) -> Unit = {},
) : ChannelInboundHandlerAdapter(),
    Holder,
    Evictable {
    private lateinit var context: ChannelHandlerContext
    private val share = account.open(this)
    private val memory = account
    private val readAhead = ReadAhead(limits)
    private val progress = ProgressMonitor(limits)
    private var isMemoryPaused = false
    private var carriesRelays = false
    private var isBodyPaused = false
    private var isReadAheadPaused = false
    private var current: Exchange? = null
    private var isDiscardingBody = false
    private var keepAlive = true
    private var isClosing = false

    /** The estimated memory that undecoded data takes, in bytes; set by the decoder. */
    var undecodedBytes = 0L

    /** The length of the head that was decoded last, in bytes; set by the decoder. */
    var lastHeadBytes = 0

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
        readAhead.add(message, lastHeadBytes)
    }

    /** Whether the caller's connection is open. Its end is noticed here before [channelInactive] is called. */
    val isConnected: Boolean get() = context.channel().isActive

    /** Whether no further request should be decoded, until the current one has been answered. */
    val isReadAheadFull: Boolean get() = readAhead.isFull || (!isReceiving && !context.channel().isWritable)

    private val isReceiving: Boolean get() = current?.isBodyComplete == false

    override val holderState: HolderState
        get() {
            val exchange = current
            return when {
                exchange == null -> if (pendingAnswerBytes > 0) HolderState.Answering else HolderState.Unread
                !exchange.wasAttempted -> HolderState.Waiting
                !exchange.isBodyComplete -> HolderState.Receiving
                else -> HolderState.Answering
            }
        }

    override val evictionRank: EvictionRank?
        get() = when {
            carriesRelays -> null
            pendingAnswerBytes > 0 && !context.channel().isWritable -> EvictionRank.NotReading
            current == null -> EvictionRank.BetweenRequests
            isReceiving -> EvictionRank.Receiving
            else -> null
        }

    override fun pauseForMemory(pause: Boolean) {
        isMemoryPaused = pause
        applyPauses()
        current?.attempt?.pauseResponse(pause || !context.channel().isWritable)
    }

    override fun giveUp() {
        val exchange = current
        if (exchange == null || exchange.wasAttempted || !context.channel().isWritable) return evict()
        keepAlive = false
        registry.callerDisconnected(exchange)
        refuseWithoutNode(exchange, MEMORY_FULL)
    }

    override fun evict() {
        current?.let(registry::callerDisconnected)
        current = null
        isClosing = true
        context.close()
    }

    /** Updates what this connection holds. */
    private fun account() {
        val exchange = current
        share.set(
            heads = undecodedBytes + (exchange?.heldHeadBytes ?: 0L),
            ahead = readAhead.heldBytes,
            bodies = exchange?.heldBodyBytes ?: 0L,
            answers = pendingAnswerBytes,
        )
    }

    private val pendingAnswerBytes: Long
        get() = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L

    /** Closes the connection if the head or the body of a request takes too long; called once a second. */
    fun checkProgress() {
        account()
        val isInHead = current == null && undecodedBytes > 0 && !isReadAheadFull
        val isOverdue = progress.isOverdue(isInHead, isReceiving && !isBodyPaused && !isMemoryPaused)
        if (!isOverdue) return
        registry.recordSlowRequest(isInHead)
        evict()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        progress.recordRead()
        onRead(this)
        account()
        context.flush()
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClosing = true
        current?.let(registry::callerDisconnected)
        current = null
        readAhead.clear()
        share.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        val isWritable = context.channel().isWritable
        current?.attempt?.pauseResponse(isMemoryPaused || !isWritable)
        account()
        if (isWritable) context.executor().execute(::resumeReadAhead)
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
        context.writeAndFlush(response)
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
        exchange.attempt?.pauseResponse(isMemoryPaused || !context.channel().isWritable)
        account()
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
        context.channel().config().isAutoRead = !isBodyPaused && !isReadAheadPaused && !isMemoryPaused
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
        val exchange = Exchange(registry.nextId(), request, this, limits, lastHeadBytes)
        current = exchange
        isDiscardingBody = false
        context.pipeline().get(ResponseEncoder::class.java).expect(request)
        val problem = problemOf(request, limits)
        if (problem != null) return refuseWithoutNode(exchange, problem)
        account()
        if (memory.isFull && share.isOverFairShare) return refuseWithoutNode(exchange, MEMORY_FULL)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        val relayed = if (acceptsRelays) registry.relayed(request) else null
        if (relayed != null) carriesRelays = true
        if (relayed != null) return registry.relayArrived(exchange, relayed)
        registry.requestArrived(exchange, mayHaveLeft = isReadAheadPaused)
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
        if (exchange.bodyBytes > limits.maxBodyBytes) {
            val sent = exchange.attempt != null
            val reason = if (sent) Reason.BodyTooLargeMidway else Reason.BodyTooLarge
            registry.abandon(exchange, AttemptOutcome.CallerGone(sent))
            val refusal = Refusal(reason, "the body may have ${limits.maxBodyBytes} bytes at most")
            return refuseWithoutNode(exchange, refusal)
        }
        if (exchange.shouldPause || exchange.attempt?.isWritable == false) pauseBody(true)
        account()
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
        account()
        val wasFull = isReadAheadFull
        readPipelined()
        // In a task of its own, since this may be called while the decoder is at work.
        if (wasFull) context.executor().execute(::resumeReadAhead)
    }

    private fun readPipelined() {
        val channel = context.channel()
        while (!readAhead.isEmpty && (isReceiving || (current == null && channel.isWritable))) read(readAhead.next())
    }

    private fun resumeReadAhead() {
        if (isClosing) return
        readPipelined()
        if (isReadAheadFull) return
        val decoder = context.pipeline().context(StrictRequestDecoder::class.java) ?: return
        (decoder.handler() as StrictRequestDecoder).resume(decoder)
    }

    private companion object {
        val MEMORY_FULL = Refusal(Reason.MemoryFull, "this VM has no memory left for the request")
    }
}

/** Why [request] is refused without asking the node, or null if it is not. */
private fun problemOf(request: HttpRequest, limits: CallerLimits): Refusal? {
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
