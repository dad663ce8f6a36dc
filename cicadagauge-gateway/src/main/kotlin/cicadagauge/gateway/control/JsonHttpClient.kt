/*
 * A small HTTP client for JSON calls to peers, upstreams' control paths, the store and the VM list. One connection
 * carries one call at a time; idle connections are kept for the next call.
 */
package cicadagauge.gateway.control

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.ResponseHead
import cicadagauge.gateway.ResponseHeads
import cicadagauge.gateway.isConnectionRefused
import cicadagauge.identity.Address
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * One call. By default it is a GET without a [body] and a POST with one.
 *
 * @property reuse after which answers the connection may carry another call
 * @property maxResponseBytes how long the body of the response may be; the connection is closed when it is longer
 */
public class JsonCall(
    public val target: Address,
    public val path: String,
    public val body: ByteArray?,
    public val timeout: Duration,
    public val method: HttpMethod = if (body == null) HttpMethod.GET else HttpMethod.POST,
    public val headers: Map<String, String> = emptyMap(),
    public val maxResponseBytes: Int = SMALL_RESPONSE_BYTES,
    public val reuse: ConnectionReuse = ConnectionReuse.Always,
) {
    public companion object {
        /** A limit for responses of upstreams and peers: many may arrive at the same time, and all are buffered. */
        public const val SMALL_RESPONSE_BYTES: Int = 65_536

        /** A limit for responses of the platform's services, which list what is in a whole deployment. */
        public const val LARGE_RESPONSE_BYTES: Int = 8 * 1_024 * 1_024
    }
}

/**
 * When a connection is used for another call. An answer names no call, so a late copy of the answer to an earlier call
 * can't be told from that to the present one.
 */
public enum class ConnectionReuse {
    /** After each complete answer: for servers that answer once, and calls that are safe with an earlier answer. */
    Always,

    /** After a 2xx answer only: for calls that a copy of an earlier refusal must not end. */
    AfterSuccess,

    /** Never, neither before nor after the call: for calls whose answer is a proof. */
    Never,
}

/** The result of a [JsonCall]. */
public sealed interface CallResult {
    /** A response arrived, of any status. */
    public class Answered(
        public val status: Int,
        public val body: ByteArray,
        private val headers: (String) -> String?,
    ) : CallResult {
        /** Whether the status is 2xx. */
        public val isSuccess: Boolean get() = status / STATUS_CLASS == SUCCESS_CLASS

        /** The value of header [name], or null. */
        public fun header(name: String): String? = headers(name)

        private companion object {
            const val STATUS_CLASS = 100
            const val SUCCESS_CLASS = 2
        }
    }

    /** The connection was refused: nothing listens there, and nothing was sent. */
    public data object Refused : CallResult

    /** There was no connection or no response in time. The call may have arrived before the connection was reset. */
    public data object Lost : CallResult
}

/** Makes calls on [loop]. [headers] are sent with each of them. */
public class JsonHttpClient internal constructor(
    private val loop: EventLoop,
    private val headers: Map<String, String>,
    private val connector: CallConnector,
) {
    public constructor(loop: EventLoop, headers: Map<String, String>) : this(loop, headers, TcpCallConnector(loop))

    private val idle = HashMap<Address, ArrayDeque<Channel>>()

    /** Makes [call] and passes the body of a 2xx response to [onBody], or null if there was none in time. */
    public fun call(call: JsonCall, onBody: (ByteArray?) -> Unit): CancellableCall = exchange(call) { result ->
        onBody((result as? CallResult.Answered)?.takeIf { it.isSuccess }?.body)
    }

    /** Makes [call] and passes the result to [onResult]. */
    public fun exchange(call: JsonCall, onResult: (CallResult) -> Unit): CancellableCall {
        val pending = PendingCall(call, onResult)
        pending.timeout = loop.schedule({ pending.fail() }, call.timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val reused = if (call.reuse == ConnectionReuse.Never) null else takeIdle(call.target)
        if (reused == null) connect(call, pending) else send(reused, pending)
        return CancellableCall { pending.cancel() }
    }

    private fun takeIdle(target: Address): Channel? {
        val channels = idle[target] ?: return null
        while (channels.isNotEmpty()) channels.removeLast().let { if (it.isActive) return it }
        return null
    }

    private fun connect(call: JsonCall, pending: PendingCall) {
        val connected = connector.connect(call.target, call.timeout, Initializer(call.maxResponseBytes))
        pending.connected = connected
        connected.addListener { result ->
            if (!result.isSuccess) return@addListener pending.connectFailed(result.cause())
            val channel = (result as ChannelFuture).channel()
            if (pending.isDone) addIdle(call.target, channel) else send(channel, pending)
        }
    }

    private fun send(channel: Channel, pending: PendingCall) {
        pending.channel = channel
        channel.pipeline().get(ResponseHandler::class.java).current = pending
        channel.writeAndFlush(request(pending.call)).addListener { if (!it.isSuccess) pending.fail() }
    }

    private fun request(call: JsonCall): DefaultFullHttpRequest {
        val body = call.body
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method, call.path, content)
        request.headers().set(HttpHeaderNames.HOST, call.target.toString())
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.forEach { (name, value) -> request.headers().set(name, value) }
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        return request
    }

    private fun addIdle(target: Address, channel: Channel) {
        val channels = idle.getOrPut(target) { ArrayDeque() }
        if (channels.size >= MAX_IDLE_PER_TARGET) channel.close() else channels.addLast(channel)
    }

    private class PendingCall(val call: JsonCall, private val onResult: (CallResult) -> Unit) {
        var connected: ChannelFuture? = null
        var channel: Channel? = null
        var timeout: ScheduledFuture<*>? = null
        var isDone = false

        /** Ends the call as lost and resets its connection, so that data still in transit can't arrive later. */
        fun fail() {
            reset()
            finish(CallResult.Lost)
        }

        /** Ends the call without a result, and resets its connection. */
        fun cancel() {
            if (isDone) return
            isDone = true
            timeout?.cancel(false)
            reset()
            connected?.channel()?.close()
        }

        private fun reset() {
            channel?.let { if (it.isActive) it.config().setOption(ChannelOption.SO_LINGER, 0) }
            channel?.close()
        }

        fun connectFailed(cause: Throwable) {
            finish(if (cause.isConnectionRefused) CallResult.Refused else CallResult.Lost)
        }

        fun finish(result: CallResult) {
            if (isDone) return
            isDone = true
            timeout?.cancel(false)
            onResult(result)
        }
    }

    private inner class Initializer(private val maxResponseBytes: Int) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = ResponseHandler()
            channel.pipeline()
                .addLast(
                    UnsolicitedDataGuard(handler),
                    HttpClientCodec(),
                    HttpObjectAggregator(maxResponseBytes),
                    handler,
                )
        }
    }

    /** Closes a connection on which data arrives that no call waits for. */
    private class UnsolicitedDataGuard(private val handler: ResponseHandler) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (handler.current != null) {
                context.fireChannelRead(message)
            } else {
                ReferenceCountUtil.release(message)
                context.close()
            }
        }
    }

    /** Ends a call once all that arrived with its response is read; if that is more, the connection is closed. */
    private inner class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var current: PendingCall? = null
            set(value) {
                field = value
                heads.expectNext()
            }
        private val heads = ResponseHeads()
        private var answer: CallResult.Answered? = null
        private var canBeReused = false

        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            val isReadable = current != null && answer == null && !response.decoderResult().isFailure
            val head = if (isReadable) heads.classify(response) else ResponseHead.Invalid
            if (head == ResponseHead.Interim) return
            if (head == ResponseHead.Invalid) {
                canBeReused = false
                context.close()
                return
            }
            val bytes = ByteArray(response.content().readableBytes()).also { response.content().readBytes(it) }
            val headers = response.headers()
            val read = CallResult.Answered(response.status().code(), bytes) { headers[it] }
            canBeReused = HttpUtil.isKeepAlive(response) && mayBeReusedAfter(read)
            answer = read
        }

        private fun mayBeReusedAfter(read: CallResult.Answered): Boolean = when (current?.call?.reuse) {
            ConnectionReuse.Always -> true
            ConnectionReuse.AfterSuccess -> read.isSuccess
            ConnectionReuse.Never, null -> false
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            endCall(context)
            context.fireChannelReadComplete()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            canBeReused = false
            endCall(context)
            current?.fail()
        }

        private fun endCall(context: ChannelHandlerContext) {
            val result = answer ?: return
            val pending = current ?: return
            answer = null
            current = null
            if (canBeReused) addIdle(pending.call.target, context.channel()) else context.close()
            pending.finish(result)
        }

        @Deprecated("Overrides a deprecated method of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    public companion object {
        private const val MAX_IDLE_PER_TARGET = 16

        /** The headers that carry the deployment's [secret] and name the sender [vm]. */
        public fun authFields(secret: String, vm: String): Map<String, String> =
            mapOf(ProtocolHeaders.SECRET to secret, ProtocolHeaders.VM to vm)
    }
}
