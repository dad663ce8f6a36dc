/*
 * An open-loop load generator: it sends requests at a constant rate, whether or not earlier ones are answered, and
 * counts the results. Latency is measured from the time at which a request was due, so that it includes waiting for a
 * free connection.
 */
package cicadagauge.standins.load

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.identity.Address
import cicadagauge.node.RequestHead
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.HdrHistogram.Histogram
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request to send. [key] is the API key, null for none; the results are counted by [label]. */
public data class LoadRequest(
    val target: Address,
    val method: String,
    val path: String,
    val key: String?,
    val label: String,
    val body: ByteArray = ByteArray(0),
)

/** Results of the requests with one label. */
public class LoadStatistics {
    /** Number of requests issued, including those that wait for a connection. */
    public var sent: Long = 0

    /** Number of responses with a status below 400. */
    public var answered: Long = 0

    /** Number of responses with a status of 400 or above. */
    public var refused: Long = 0

    /** Number of requests whose connection failed or closed before the response was complete. */
    public var lost: Long = 0

    /** Number of refused requests by the reason header of the response; `other` counts those without one. */
    public val reasons: MutableMap<String, Int> = sortedMapOf()

    /** Latency of answered requests in microseconds; longer than 60 s is recorded as 60 s. */
    public val latencyMicros: Histogram = Histogram(MAX_LATENCY_MICROS, 3)

    private companion object {
        const val MAX_LATENCY_MICROS = 60_000_000L
    }
}

/** Sends requests from one event loop of [group], over at most [connections] connections per target. */
public class LoadGenerator(group: EventLoopGroup, private val connections: Int = 256) {
    private val loop = group.next()
    private val idleConnections = HashMap<Address, ArrayDeque<Channel>>()
    private val connectionCounts = HashMap<Address, Int>()
    private val queuedRequests = HashMap<Address, ArrayDeque<OpenRequest>>()
    private val statistics = sortedMapOf<String, LoadStatistics>()
    private var openRequests = 0

    /**
     * Sends [ratePerSecond] requests a second for [duration] and returns the results by label. [makeRequest] makes the
     * request with the given number, counted from 0. Responses are waited for up to [drainTimeout] after [duration]; a
     * request that is open after that counts only as sent.
     */
    public fun run(
        ratePerSecond: Int,
        duration: Duration,
        drainTimeout: Duration = 10.seconds,
        makeRequest: (Int) -> LoadRequest,
    ): Map<String, LoadStatistics> {
        val total = (ratePerSecond * duration.inWholeMilliseconds / MILLIS_PER_SECOND).toInt()
        val done = CountDownLatch(1)
        loop.execute { tick(System.nanoTime(), 0, total, NANOS_PER_SECOND / ratePerSecond, makeRequest, done) }
        done.await((duration + drainTimeout).inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return loop.submit<Map<String, LoadStatistics>> { statistics.toMap() }.get()
    }

    private fun tick(
        startNanos: Long,
        sent: Int,
        total: Int,
        intervalNanos: Long,
        makeRequest: (Int) -> LoadRequest,
        done: CountDownLatch,
    ) {
        var number = sent
        val now = System.nanoTime()
        while (number < total && startNanos + number * intervalNanos <= now) {
            issue(OpenRequest(makeRequest(number), startNanos + number * intervalNanos))
            number++
        }
        if (number == total && openRequests == 0) return done.countDown()
        loop.schedule(
            { tick(startNanos, number, total, intervalNanos, makeRequest, done) },
            TICK_INTERVAL_MICROS,
            TimeUnit.MICROSECONDS,
        )
    }

    private fun issue(openRequest: OpenRequest) {
        openRequests++
        openRequest.statistics.sent++
        val target = openRequest.request.target
        val channel = takeIdleConnection(target)
        when {
            channel != null -> send(channel, openRequest)
            connectionCounts.getOrDefault(target, 0) < connections -> connect(target, openRequest)
            else -> queuedRequests.getOrPut(target) { ArrayDeque() }.addLast(openRequest)
        }
    }

    private fun takeIdleConnection(target: Address): Channel? {
        val channels = idleConnections[target] ?: return null
        while (channels.isNotEmpty()) channels.removeLast().let { if (it.isActive) return it }
        return null
    }

    private fun connect(target: Address, openRequest: OpenRequest) {
        connectionCounts.merge(target, 1, Int::plus)
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true).handler(Initializer())
        bootstrap.connect(target.host, target.port).addListener { result ->
            val channel = (result as ChannelFuture).channel()
            if (!result.isSuccess) {
                connectionCounts.merge(target, -1, Int::plus)
                return@addListener openRequest.fail()
            }
            channel.closeFuture().addListener { connectionCounts.merge(target, -1, Int::plus) }
            send(channel, openRequest)
        }
    }

    private fun send(channel: Channel, openRequest: OpenRequest) {
        channel.pipeline().get(ResponseHandler::class.java).current = openRequest
        val request = openRequest.request
        val content = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, content)
        message.headers().set(HttpHeaderNames.HOST, request.target.toString())
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        if (request.key != null) message.headers().set(RequestHead.KEY_HEADER, request.key)
        channel.writeAndFlush(message)
    }

    private fun release(channel: Channel, target: Address) {
        val queued = queuedRequests[target]?.removeFirstOrNull()
        if (queued != null) {
            send(channel, queued)
        } else {
            idleConnections.getOrPut(target) { ArrayDeque() }.addLast(channel)
        }
    }

    private inner class OpenRequest(val request: LoadRequest, private val dueNanos: Long) {
        val statistics = this@LoadGenerator.statistics.getOrPut(request.label) { LoadStatistics() }

        fun complete(response: FullHttpResponse) {
            openRequests--
            if (response.status().code() >= FIRST_ERROR_STATUS) {
                statistics.refused++
                statistics.reasons.merge(response.headers()[ProtocolHeaders.REASON] ?: "other", 1, Int::plus)
                return
            }
            statistics.answered++
            statistics.latencyMicros.recordValue(
                minOf((System.nanoTime() - dueNanos) / NANOS_PER_MICRO, statistics.latencyMicros.highestTrackableValue),
            )
        }

        fun fail() {
            openRequests--
            statistics.lost++
        }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAX_RESPONSE_BYTES), ResponseHandler())
        }
    }

    private inner class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var current: OpenRequest? = null

        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            val openRequest = current ?: return
            current = null
            openRequest.complete(response)
            if (HttpUtil.isKeepAlive(response)) {
                release(context.channel(), openRequest.request.target)
            } else {
                context.close()
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            current?.fail()
            current = null
        }

        @Deprecated("Overrides a method that is deprecated in Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val TICK_INTERVAL_MICROS = 200L
        const val FIRST_ERROR_STATUS = 400
        const val MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024
    }
}
