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
public class LoadFigures {
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
    public val micros: Histogram = Histogram(MAX_MICROS, 3)

    private companion object {
        const val MAX_MICROS = 60_000_000L
    }
}

/** Sends requests from one event loop of [group], over at most [connections] connections per target. */
public class LoadGenerator(group: EventLoopGroup, private val connections: Int = 256) {
    private val loop = group.next()
    private val idle = HashMap<Address, ArrayDeque<Channel>>()
    private val open = HashMap<Address, Int>()
    private val queue = HashMap<Address, ArrayDeque<Shot>>()
    private val figures = sortedMapOf<String, LoadFigures>()
    private var pending = 0

    /**
     * Sends [ratePerSecond] requests a second for [length] and returns the results by label. [next] makes the request
     * with the given number, counted from 0. Responses are waited for up to 10 s after [length]; a request that is open
     * after that counts only as sent.
     */
    public fun run(ratePerSecond: Int, length: Duration, next: (Int) -> LoadRequest): Map<String, LoadFigures> {
        val total = (ratePerSecond * length.inWholeMilliseconds / MILLIS).toInt()
        val done = CountDownLatch(1)
        loop.execute { tick(System.nanoTime(), 0, total, NANOS / ratePerSecond, next, done) }
        done.await(length.inWholeMilliseconds + DRAIN_MILLIS, TimeUnit.MILLISECONDS)
        return loop.submit<Map<String, LoadFigures>> { figures.toMap() }.get()
    }

    private fun tick(start: Long, sent: Int, total: Int, gap: Long, next: (Int) -> LoadRequest, done: CountDownLatch) {
        var number = sent
        val now = System.nanoTime()
        while (number < total && start + number * gap <= now) {
            shoot(Shot(next(number), start + number * gap))
            number++
        }
        if (number == total && pending == 0) return done.countDown()
        loop.schedule({ tick(start, number, total, gap, next, done) }, TICK_MICROS, TimeUnit.MICROSECONDS)
    }

    private fun shoot(shot: Shot) {
        pending++
        shot.figures.sent++
        val target = shot.request.target
        val channel = takeIdle(target)
        when {
            channel != null -> send(channel, shot)
            open.getOrDefault(target, 0) < connections -> connect(target, shot)
            else -> queue.getOrPut(target) { ArrayDeque() }.addLast(shot)
        }
    }

    private fun takeIdle(target: Address): Channel? {
        val channels = idle[target] ?: return null
        while (channels.isNotEmpty()) channels.removeLast().let { if (it.isActive) return it }
        return null
    }

    private fun connect(target: Address, shot: Shot) {
        open.merge(target, 1, Int::plus)
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true).handler(Initializer())
        bootstrap.connect(target.host, target.port).addListener { result ->
            val channel = (result as ChannelFuture).channel()
            if (!result.isSuccess) {
                open.merge(target, -1, Int::plus)
                return@addListener shot.lost()
            }
            channel.closeFuture().addListener { open.merge(target, -1, Int::plus) }
            send(channel, shot)
        }
    }

    private fun send(channel: Channel, shot: Shot) {
        channel.pipeline().get(Answers::class.java).current = shot
        val request = shot.request
        val content = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, content)
        message.headers().set(HttpHeaderNames.HOST, request.target.toString())
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        if (request.key != null) message.headers().set(RequestHead.KEY_HEADER, request.key)
        channel.writeAndFlush(message)
    }

    private fun free(channel: Channel, target: Address) {
        val next = queue[target]?.removeFirstOrNull()
        if (next != null) send(channel, next) else idle.getOrPut(target) { ArrayDeque() }.addLast(channel)
    }

    private inner class Shot(val request: LoadRequest, private val due: Long) {
        val figures = this@LoadGenerator.figures.getOrPut(request.label) { LoadFigures() }

        fun answered(answer: FullHttpResponse) {
            pending--
            if (answer.status().code() >= FIRST_ERROR) {
                figures.refused++
                figures.reasons.merge(answer.headers()[ProtocolHeaders.REASON] ?: "other", 1, Int::plus)
                return
            }
            figures.answered++
            figures.micros.recordValue(
                minOf((System.nanoTime() - due) / NANOS_PER_MICRO, figures.micros.highestTrackableValue),
            )
        }

        fun lost() {
            pending--
            figures.lost++
        }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAX_ANSWER), Answers())
        }
    }

    private inner class Answers : SimpleChannelInboundHandler<FullHttpResponse>() {
        var current: Shot? = null

        override fun channelRead0(context: ChannelHandlerContext, answer: FullHttpResponse) {
            val shot = current ?: return
            current = null
            shot.answered(answer)
            if (HttpUtil.isKeepAlive(answer)) free(context.channel(), shot.request.target) else context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            current?.lost()
            current = null
        }

        @Deprecated("Overrides a method that is deprecated in Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MILLIS = 1_000
        const val NANOS = 1_000_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val TICK_MICROS = 200L
        const val DRAIN_MILLIS = 10_000L
        const val FIRST_ERROR = 400
        const val MAX_ANSWER = 8 * 1_024 * 1_024
    }
}
