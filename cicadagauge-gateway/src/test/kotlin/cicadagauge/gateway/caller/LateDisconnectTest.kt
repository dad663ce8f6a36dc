package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.EventLoopMonitor
import cicadagauge.gateway.RecordingNode
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.node.Event
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.ServerSocketChannel
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** A port whose event loop is blocked until [release], as if the VM had no processor time. */
private class BlockedPort {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val node = RecordingNode()
    private val turn = CountDownLatch(1)

    // No stall is known: the monitor's clock has moved past the start, and its ticks are never late.
    private var now = Moment.ZERO
    private val monitor = EventLoopMonitor { now }
    private val registry = node.registry(loop, monitor)
    private val port: Int

    init {
        now += 10.seconds
        monitor.tick()
        now += 10.seconds
        monitor.tick()
        now += 10.seconds
        repeat(200) {
            now += 0.05.seconds
            monitor.tick()
        }
        val callers = DefaultChannelGroup(loop)
        val server = CallerPort(group, registry, CallerLimits(), callers, acceptsRelays = false)
            .bind(Address("127.0.0.1", 0)).sync().channel() as ServerSocketChannel
        port = server.localAddress().port
        loop.execute { turn.await() }
    }

    /** Connects and sends a request, which the loop can't read yet. */
    fun send(): Socket = Socket(InetAddress.getLoopbackAddress(), port).also {
        it.getOutputStream().write("GET /a HTTP/1.1\r\nhost: h\r\n\r\n".toByteArray())
    }

    /** Lets the loop run until all [left] sockets have been closed by it; returns the requests that the node was given. */
    fun release(left: List<Socket>): Int {
        turn.countDown()
        left.forEach { while (it.getInputStream().read() >= 0) Unit }
        repeat(TURNS) { loop.schedule({ }, 1, TimeUnit.MILLISECONDS).get() }
        val requests = loop.submit<Int> { node.events.count { it is Event.RequestArrived } }.get()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        return requests
    }

    private companion object {
        const val TURNS = 20
    }
}

class LateDisconnectTest :
    FunSpec({
        test("a request is not handed to the node if its caller left before it was read, without a stall as well") {
            val port = BlockedPort()
            val callers = List(100) { port.send() }
            callers.forEach { it.shutdownOutput() }
            port.release(callers) shouldBe 0
        }

        test("a request is handed to the node if its caller waits, beside others who left") {
            val port = BlockedPort()
            val left = List(50) { port.send() }
            val waiting = List(50) { port.send() }
            left.forEach { it.shutdownOutput() }
            port.release(left) shouldBe 50
            waiting.forEach { it.close() }
        }
    })
