package cicadagauge.gateway.upstream

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.ResponseHead
import cicadagauge.gateway.ResponseHeads
import cicadagauge.gateway.UpstreamLimits
import cicadagauge.gateway.caller.Exchange
import cicadagauge.gateway.environment.Dialect
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.outcome.TruncationCause
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads the responses on one upstream connection and passes them to the attempt that uses it. A response ends its
 * attempt once everything that has arrived with it is read; if that is more than the response, the connection is
 * closed. A rejection doesn't wait for its rest. [onIdle] is called when the connection can carry another request,
 * [onUnsolicited] with the number of bytes that arrived without a request.
 */
internal class UpstreamHandler(
    private val limits: UpstreamLimits,
    private val dialect: Dialect,
    private val onIdle: (Channel) -> Unit,
    private val onUnsolicited: (Int) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext

    private val heads = ResponseHeads()

    /** The status of the response that is being read, or null before its head. */
    private var status: Int? = null
    private var isComplete = false
    private var keepAlive = false
    private var isClosing = false

    /** The outcome if the response is not forwarded, because it is a refusal or proves that nothing ran; else null. */
    private var rejection: AttemptOutcome? = null

    /** The drain of a rejection whose attempt has ended, or null. */
    private var drain: RejectionDrain? = null
    private var progressCheck: ScheduledFuture<*>? = null

    /** The progress of the response that is being forwarded, or null before its head. */
    private var progress: ResponseProgress? = null

    /** Why this side has closed the connection during a response, if it has. */
    private var truncation = TruncationCause.ConnectionBroken

    /** Whether the response that is being read has a length or chunks, or no body. */
    private var isFramed = false

    /** Whether the end of the upstream's data has been read. */
    private var hasReadEnd = false
    private var slowness: Double? = null

    /** The requests that were rejected on this connection: a late copy of a rejection may still follow. */
    private val rejectedRequests = HashSet<String>()

    /** The attempt that waits for a response, or null. */
    var attempt: UpstreamAttempt? = null
        private set

    /** Whether data that arrives now belongs to a response. */
    val expectsData: Boolean get() = (attempt != null || drain != null) && !isComplete

    /** Whether the connection may carry the request of [exchange], because it hasn't carried it before. */
    fun mayCarry(exchange: Exchange): Boolean = rejectedRequests.isEmpty() || identityOf(exchange) !in rejectedRequests

    private fun identityOf(exchange: Exchange): String =
        dialect.requestId(exchange.request.headers()) ?: "exchange ${exchange.id}"

    /** Reads the next response for [next]. */
    fun begin(next: UpstreamAttempt) {
        attempt = next
        heads.expectNext()
        status = null
        isComplete = false
        progress = null
        rejection = null
    }

    /**
     * Handles the deadline of a request whose response has begun: it is passed on for a short time, but cut off when
     * the upstream stalls or doesn't end it.
     */
    fun deadlinePassed() {
        val response = progress ?: return
        response.recordDeadline()
        progressCheck?.cancel(false)
        scheduleProgressCheck(response)
    }

    /** Pauses or resumes reading the response. */
    fun pauseReading(pause: Boolean) {
        context.channel().config().isAutoRead = !pause
        progress?.recordPause(pause)
    }

    /** Detaches the attempt, which has ended, and closes the connection unless it [canBeReused] after its response. */
    fun release(canBeReused: Boolean) {
        attempt = null
        context.channel().config().isAutoRead = true
        when {
            !canBeReused || !keepAlive || isClosing -> close()
            isComplete -> onIdle(context.channel())
            else -> drain = RejectionDrain(context.executor(), ::close)
        }
    }

    /** Records the end of the upstream's data. What the decoder reports of it follows, then the connection closes. */
    fun endOfDataRead() {
        hasReadEnd = true
        keepAlive = false
    }

    /** Handles the end of a read of [length] bytes. A rejection whose rest is missing waits for no further read. */
    fun endRead(length: Int) {
        drain?.add(length)
        if (rejection != null && !isComplete) attempt?.let(::endResponse)
    }

    /** Closes the connection, because [length] bytes have arrived on it that belong to no response. */
    fun rejectData(length: Int) {
        if (isClosing) return
        onUnsolicited(length)
        close()
        attempt?.let(::endResponse)
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val running = attempt
        if (running == null || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return drain(message)
        }
        progress?.recordRead()
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            return failAttempt(running)
        }
        if (message is HttpResponse) readHead(context, running, message)
        if (message is HttpContent) readContent(running, message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        val running = attempt ?: return endDrain()
        when {
            isComplete -> endResponse(running)
            running.exchange.hasResponseStarted -> running.exchange.caller.flush()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        progressCheck?.cancel(false)
        drain?.end()
        isClosing = true
        if (isComplete) attempt?.let(::endResponse)
        attempt?.let(::failAttempt)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        attempt?.exchange?.caller?.pauseBody(!context.channel().isWritable)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent || (event is IdleStateEvent && attempt == null)) close()
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        close()
    }

    private fun readHead(context: ChannelHandlerContext, running: UpstreamAttempt, response: HttpResponse) {
        when (heads.classify(response)) {
            ResponseHead.Interim -> return
            ResponseHead.Invalid -> return failAttempt(running)
            ResponseHead.Answer -> status = response.status().code()
        }
        slowness = dialect.slowness(response.headers())
        if (!running.hop.isRelay && !isResponseTo(running, response)) return failAttempt(running)
        rejection = if (running.hop.isRelay) homeRefusal(response) else notRun(response)
        isFramed = isFramed(response, running)
        if (rejection == null && !isFramed && !dialect.allowsCloseDelimitedBody) return failAttempt(running)
        keepAlive = HttpUtil.isKeepAlive(response) && !mayBeRepeated(running, response)
        if (rejection != null) return
        val forwarded = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        UpstreamRequest.copyResponseHeaders(response.headers(), forwarded.headers())
        if (!isFramed) HttpUtil.setTransferEncodingChunked(forwarded, true)
        val response = ResponseProgress(limits, context.executor().ticker())
        progress = response
        running.exchange.caller.begin(running.exchange, forwarded)
        scheduleProgressCheck(response)
    }

    private fun readContent(running: UpstreamAttempt, content: HttpContent) {
        if (status == null) {
            content.release()
            return
        }
        val isLast = content is LastHttpContent
        if (isLast && !BodyEnd.of(isFramed, hasReadEnd).isComplete) {
            content.release()
            return failAttempt(running)
        }
        val rejected = rejection
        if (rejected == null) running.exchange.caller.write(running.exchange, content) else content.release()
        if (!isLast) return
        progressCheck?.cancel(false)
        isComplete = true
    }

    private fun endResponse(running: UpstreamAttempt) {
        val rejected = rejection
        val answered = status ?: return failAttempt(running)
        if (rejected != null) {
            rejectedRequests += identityOf(running.exchange)
            if (rejectedRequests.size > MAX_REJECTED_REQUESTS) keepAlive = false
        }
        running.end(rejected ?: AttemptOutcome.Answered(answered, slowness))
    }

    /** Ends the attempt, whose connection failed; a rejection holds all the same. */
    private fun failAttempt(running: UpstreamAttempt) {
        isClosing = true
        running.end(
            rejection ?: if (running.exchange.hasResponseStarted) {
                AttemptOutcome.Truncated(truncation)
            } else {
                AttemptOutcome.Lost(timedOut = false)
            },
        )
    }

    /** Handles a [message] that no attempt waits for; it has been released. */
    private fun drain(message: Any) {
        val isBroken = message !is HttpObject || message.decoderResult().isFailure
        if (drain == null || isBroken) return close()
        if (message is LastHttpContent) isComplete = true
    }

    private fun endDrain() {
        val ended = drain ?: return
        if (!isComplete || isClosing) return
        ended.end()
        drain = null
        onIdle(context.channel())
    }

    private fun close() {
        isClosing = true
        drain?.end()
        context.close()
    }

    private fun isResponseTo(running: UpstreamAttempt, response: HttpResponse): Boolean =
        dialect.isResponseTo(response.status().code(), response.headers(), running.exchange.request.headers())

    /**
     * Whether [response] is a rejection that can't be told from that of the next request on the connection, should the
     * upstream send it once more. A home VM sends each response once.
     */
    private fun mayBeRepeated(running: UpstreamAttempt, response: HttpResponse): Boolean =
        rejection != null && !running.hop.isRelay && !dialect.namesRequest(response.headers())

    private fun notRun(response: HttpResponse): AttemptOutcome? =
        dialect.notRun(response.status().code(), response.headers())?.let { AttemptOutcome.NotRun(it) }

    /** The refusal of a home VM; a response that it forwards from an upstream has no verdict and no reason. */
    private fun homeRefusal(response: HttpResponse): AttemptOutcome? {
        val code = response.headers()[ProtocolHeaders.REASON] ?: return null
        val reason = Reason.entries.firstOrNull { it.code == code } ?: Reason.UpstreamBroke
        val retryAfter = response.headers()[ProtocolHeaders.RETRY_AFTER]?.toLongOrNull()?.milliseconds
        return AttemptOutcome.Refused(Refusal(reason, "refused by the home VM of the key's owner", retryAfter))
    }

    /** Whether the end of the response can be distinguished from a broken connection. */
    private fun isFramed(response: HttpResponse, running: UpstreamAttempt): Boolean {
        val bodiless = running.exchange.request.method() == HttpMethod.HEAD ||
            response.status() == HttpResponseStatus.NO_CONTENT ||
            response.status() == HttpResponseStatus.NOT_MODIFIED
        return bodiless || HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
    }

    /** Closes the connection when [response] is to be given up. */
    private fun scheduleProgressCheck(response: ResponseProgress) {
        val delay = response.nextCheck().inWholeNanoseconds
        progressCheck = context.executor().schedule({ checkProgress(response) }, delay, TimeUnit.NANOSECONDS)
    }

    private fun checkProgress(response: ResponseProgress) {
        if (attempt == null || response !== progress) return
        val cause = response.truncation() ?: return scheduleProgressCheck(response)
        truncation = cause
        close()
    }

    private companion object {
        /** The number of requests that may be rejected on a connection before it is closed. */
        const val MAX_REJECTED_REQUESTS = 64
    }
}
