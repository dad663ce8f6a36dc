/*
 * One entry VM's process: a port for callers, a port for peers and operators, and the node between them. All of it
 * runs on one event loop.
 */
package cicadagauge.gateway

import cicadagauge.gateway.caller.AnswerEncoder
import cicadagauge.gateway.caller.CallerHandler
import cicadagauge.gateway.caller.StrictRequestDecoder
import cicadagauge.gateway.control.ControlHandler
import cicadagauge.gateway.control.JsonHttpClient
import cicadagauge.gateway.control.JsonHttpServer
import cicadagauge.gateway.control.PeerSender
import cicadagauge.gateway.control.PlatformClient
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.gateway.upstream.UpstreamConnections
import cicadagauge.node.DefaultNode
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.NodeStatus
import cicadagauge.store.Json
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.JsonRecordCodec
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.timeout.IdleStateHandler
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A running entry VM. */
public class Gateway(private val settings: GatewaySettings) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val node = DefaultNode(settings.node, JsonDeclarationCodec(), JsonRecordCodec(), MonotonicClock.now())
    private val driver = NodeDriver(node, loop)
    private val metrics = GatewayMetrics { status().pendingRequests }
    private val connections = UpstreamConnections(loop, settings.upstreams)
    private val registry = RequestRegistry(driver, connections, metrics, settings.secret)
    private val client = JsonHttpClient(loop, JsonHttpClient.proof(settings.secret, settings.node.vm.value))
    private val peers = PeerSender(client, settings.platform.peerCall)
    private val platform = PlatformClient(settings, client, loop, driver::submit)
    private val control =
        JsonHttpServer(
            group,
            settings.control,
            ControlHandler(DeploymentSecret(settings.secret), driver, ::status, metrics),
        )
    private val callers = DefaultChannelGroup(loop)
    private val handedOver = CompletableFuture<Unit>()
    private var listener: Channel? = null

    /** Binds both ports and begins to work; throws where a port can't be bound. */
    public fun start(): Gateway {
        Json.warmUp()
        driver.effects = EffectHandler(::carryOut)
        control.start()
        listener = listen()
        loop.execute {
            driver.submit(Event.Started)
            platform.pollVms()
        }
        return this
    }

    /** What operators may see of this VM. Call it on the event loop, or by [statusNow] from elsewhere. */
    private fun status(): NodeStatus = node.status(MonotonicClock.now())

    /** What operators may see of this VM, from any thread. */
    public fun statusNow(): NodeStatus = loop.submit<NodeStatus> { status() }.get()

    /**
     * Stops without cutting off a request: first not ready, then duties are handed over, then the listening port
     * is closed and open requests are waited for, up to [limit]. Returns whether all of them were answered.
     * A second stop does nothing.
     */
    public fun stop(limit: Duration, announce: Duration = 1.seconds): Boolean {
        if (group.isShuttingDown) return true
        val end = System.nanoTime() + limit.inWholeNanoseconds
        loop.execute {
            registry.draining = true
            driver.submit(Event.StopRequested)
        }
        handedOver.completeOnTimeout(Unit, limit.inWholeMilliseconds / 2, TimeUnit.MILLISECONDS).get()
        Thread.sleep(announce.inWholeMilliseconds)
        listener?.close()?.sync()
        while (openRequests() > 0 && System.nanoTime() < end) Thread.sleep(POLL_MILLIS)
        val whole = openRequests() == 0
        close()
        return whole
    }

    /** Stops at once, as a crash would. */
    public fun kill(): Unit = close()

    private fun openRequests(): Int = loop.submit<Int> { registry.open }.get()

    private fun close() {
        listener?.close()
        callers.close()
        control.close()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun listen(): Channel = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(Initializer())
        .bind(settings.callers.host, settings.callers.port).sync().channel()

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.Forward -> registry.forward(effect)
            is Effect.Relay -> registry.relay(effect)
            is Effect.Refuse -> registry.refuse(effect)
            is Effect.Attribute -> registry.attribute(effect)
            is Effect.SendPeer -> peers.send(effect.to, effect.address, effect.message)
            is Effect.SendGrant -> platform.grant(effect.address, effect.order)
            is Effect.CallStore -> platform.store(effect.id, effect.call)
            is Effect.StateChanged -> {
                metrics.changed(effect.change)
                LOG.info("{}", effect.change)
            }
            Effect.DutiesHandedOver -> handedOver.complete(Unit)
            is Effect.WakeAt -> error("the driver handles this itself")
        }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            if (callers.size >= settings.limits.connections) {
                channel.close()
                return
            }
            callers.add(channel)
            val idle = IdleStateHandler(settings.limits.idle.inWholeSeconds, 0, 0, TimeUnit.SECONDS)
            channel.pipeline().addLast(
                StrictRequestDecoder(settings.limits),
                AnswerEncoder(),
                idle,
                CallerHandler(registry, settings.limits),
            )
        }
    }

    private companion object {
        val LOG = LogManager.getLogger(Gateway::class.java)
        const val POLL_MILLIS = 5L
        const val SHUTDOWN_MILLIS = 200L
    }
}
