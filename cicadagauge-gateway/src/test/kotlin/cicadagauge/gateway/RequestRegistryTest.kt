package cicadagauge.gateway

import cicadagauge.gateway.caller.CallerHandler
import cicadagauge.gateway.caller.Exchange
import cicadagauge.identity.Moment
import cicadagauge.node.Event
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** A registry whose event loop has stalled for [stallSeconds]. */
private class StalledLoop(stallSeconds: Long) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val node = RecordingNode()
    private var now = Moment.ZERO
    private val loopMonitor = EventLoopMonitor { now }
    private val registry = node.registry(loop, loopMonitor)
    private val caller =
        CallerHandler(registry, CallerLimits(), acceptsRelays = false).also { EmbeddedChannel(it) }
    private val exchange = Exchange(
        registry.nextId(),
        DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        caller,
        CallerLimits(),
    )

    init {
        // Moves past the recovery window that follows the start.
        now += 10.seconds
        loopMonitor.tick()
        now += 10.seconds
        loopMonitor.tick()
        now += stallSeconds.seconds
        loopMonitor.tick()
    }

    /** Receives a request, runs [next] in the same turn of the loop and returns the events that the node was given. */
    fun receive(next: RequestRegistry.(Exchange) -> Unit = {}): List<Event> {
        loop.submit {
            registry.requestArrived(exchange)
            registry.next(exchange)
        }.get()
        repeat(TURNS) { loop.schedule({ }, 1, TimeUnit.MILLISECONDS).get() }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        return node.events
    }

    private companion object {
        const val TURNS = 20
    }
}

class RequestRegistryTest :
    FunSpec({
        test("after a stall, a request whose caller has disconnected is not handed to the node") {
            val events = StalledLoop(stallSeconds = 1).receive { callerDisconnected(it) }
            events.none { it is Event.RequestArrived } shouldBe true
        }

        test("after a stall, a request whose caller is still connected is handed to the node one turn later") {
            StalledLoop(stallSeconds = 1).receive().count { it is Event.RequestArrived } shouldBe 1
        }
    })
