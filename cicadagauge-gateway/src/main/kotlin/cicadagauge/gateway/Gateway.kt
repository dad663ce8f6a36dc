/*
 * The process of one entry VM. It serves callers on one port, peers and operators on another, and runs the node that
 * decides about requests. Everything runs on a single event loop.
 */
package cicadagauge.gateway

import cicadagauge.gateway.caller.CallerHandler
import cicadagauge.gateway.caller.CallerPort
import cicadagauge.gateway.control.ControlHandler
import cicadagauge.gateway.control.JsonHttpClient
import cicadagauge.gateway.control.JsonHttpServer
import cicadagauge.gateway.control.PeerSender
import cicadagauge.gateway.environment.Environment
import cicadagauge.gateway.log.EventLog
import cicadagauge.gateway.memory.ConnectionTable
import cicadagauge.gateway.memory.MemoryAccount
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.gateway.upstream.UpstreamConnections
import cicadagauge.identity.Address
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Moment
import cicadagauge.node.DefaultNode
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.NodeStatus
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An entry VM: its ports, its node and its connections to upstreams, peers and the platform. */
public class Gateway(private val settings: GatewaySettings, private val environment: Environment) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val node = DefaultNode(settings.node, environment.codecs, MonotonicClock.now())
    private val driver = NodeDriver(node, loop)
    private val log = EventLog(settings.node.vm, MonotonicClock::now)
    private val loopMonitor = EventLoopMonitor()
    private val account = MemoryAccount(settings.memory) { giveUpLater() }
    private val shares = settings.descriptors?.let(::DescriptorShares)
    private val metrics = GatewayMetrics(account) { status().pendingRequests }
    private val connections = UpstreamConnections(loop, settings.upstreams, environment.dialect) { address, bytes ->
        metrics.countUnsolicited()
        log.write("unsolicited-bytes", "address" to address, "bytes" to bytes)
    }
    private val registry =
        RequestRegistry(driver, connections, metrics, settings.secret, environment.dialect, log, loopMonitor, loop)
    private val identity = JsonHttpClient.authFields(settings.secret, settings.node.vm.value)
    private val client = JsonHttpClient(loop, identity)
    private val peers = PeerSender(client, settings.platform.peerCallTimeout, identity, log) { from, messages ->
        messages.forEach { driver.submit(Event.PeerMessageReceived(from, it)) }
    }
    private val platformClient = environment.connect(loop, driver::submit)
    private val storeCalls = StoreCalls(platformClient, driver::submit)
    private val handler = ControlHandler(DeploymentSecret(settings.secret), driver, ::status, metrics, peers)
    private val control = JsonHttpServer(group, settings.control, shares?.control, handler)
    private val readiness = settings.readiness?.let {
        JsonHttpServer(group, it, shares?.readiness, handler.publicHandler)
    }
    private val callers = DefaultChannelGroup(loop)
    private val callerTable =
        ConnectionTable<CallerHandler>(minOf(settings.limits.connections, shares?.callers ?: Int.MAX_VALUE))

    @Volatile private var listeners = emptyList<Channel>()

    @Volatile private var areDutiesHandedOver = false

    /**
     * Binds the ports and starts the node; throws if a port can't be bound. A separate callers' port is opened later,
     * see [GatewaySettings.maxOpenDelay].
     */
    public fun start(): Gateway {
        environment.warmUp()
        driver.effectHandler = EffectHandler(::carryOut)
        control.start()
        readiness?.start()
        listeners += listen(settings.relays)
        loop.execute {
            driver.submit(Event.Started)
            loopMonitor.start(loop)
            loop.scheduleWithFixedDelay(::checkProgress, 1, 1, TimeUnit.SECONDS)
            platformClient.start()
            log.write("started", "callers" to settings.callers, "zone" to settings.node.zone)
            if (settings.callers != settings.relays) {
                listenOnceDeclared(until = MonotonicClock.now() + settings.maxOpenDelay)
            }
        }
        return this
    }

    /**
     * Opens the callers' port once there is a declaration, or at [until] at the latest. After the loss of all VMs,
     * callers reconnect by the hundred while this process is still loading classes; a refused connection makes them
     * try elsewhere and costs this process nothing.
     */
    private fun listenOnceDeclared(until: Moment) {
        if (group.isShuttingDown || registry.draining) return
        if (status().declaration == DeclarationVersion.NONE && MonotonicClock.now() < until) {
            loop.schedule({ listenOnceDeclared(until) }, POLL_MILLIS, TimeUnit.MILLISECONDS)
            return
        }
        bind(settings.callers).addListener { bound ->
            if (bound.isSuccess) {
                listeners += (bound as ChannelFuture).channel()
                log.write("open", "callers" to settings.callers)
            } else {
                log.write("open-failed", "callers" to settings.callers, "cause" to bound.cause())
                loop.schedule({ listenOnceDeclared(until) }, REBIND_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }

    /** The status that operators see. Must be called on the event loop; other threads call [statusNow]. */
    private fun status(): NodeStatus = node.status(MonotonicClock.now())

    /** The status that operators see. Waits for the event loop, so it may be called from any other thread. */
    public fun statusNow(): NodeStatus = loop.submit<NodeStatus> { status() }.get()

    /**
     * Stops without dropping requests, as [StopPlan] says: reports not ready and hands over the VM's duties, goes on
     * accepting requests for [StopTimes.drainDelay], then closes the listening ports and idle connections and waits for
     * open requests and for the handover until [limit] has passed since the call. Returns whether all requests were
     * answered. A second call does nothing and returns true.
     */
    public fun stop(limit: Duration): Boolean {
        if (group.isShuttingDown) return true
        val start = MonotonicClock.now()
        val plan = StopPlan(start, announceStop(), limit, settings.stop)
        var phase = StopPhase.Accepting
        while (phase != StopPhase.Ended) {
            val pause = if (phase == StopPhase.Accepting) settings.stop.drainDelay else POLL_MILLIS.milliseconds
            Thread.sleep(minOf(pause, limit).inWholeMilliseconds)
            val isIdle = phase != StopPhase.Accepting && areDutiesHandedOver && !isServingCallers()
            val next = plan.phaseAt(MonotonicClock.now(), isIdle)
            if (phase == StopPhase.Accepting && next != phase) stopAccepting()
            if (phase != StopPhase.Refusing && next == StopPhase.Refusing) refuseWaiting()
            phase = next
        }
        val allAnswered = !isServingCallers()
        close()
        return allAnswered
    }

    /** Reports not ready and begins the handover; returns when that was, which is later where the loop is busy. */
    private fun announceStop(): Moment = loop.submit<Moment> {
        log.write("stopping", "open" to registry.open)
        registry.draining = true
        driver.submit(Event.StopRequested)
        MonotonicClock.now()
    }.get()

    private fun stopAccepting() {
        listeners.forEach { it.close().sync() }
        loop.execute { callers.forEach { it.pipeline().get(CallerHandler::class.java)?.closeAfterCurrentRequest() } }
    }

    private fun refuseWaiting() {
        loop.execute {
            log.write("stop-refuses-waiting", "open" to registry.open)
            driver.submit(Event.StopEnding)
        }
    }

    /** Closes all ports and connections at once, without draining, as a crash would. */
    public fun kill(): Unit = close()

    /** Whether a request or a caller's connection is open; an open connection can still carry a new request. */
    private fun isServingCallers(): Boolean = loop.submit<Boolean> { registry.open > 0 || callers.isNotEmpty() }.get()

    private fun close() {
        listeners.forEach { it.close() }
        callers.close()
        control.close()
        readiness?.close()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Gives up connections after those that are ready have been read. */
    private fun giveUpLater() {
        loop.execute { account.giveUp(registry::recordGivenUp) }
    }

    private fun checkProgress() {
        callerTable.all.forEach { it.checkProgress() }
        control.closeStalled()
        readiness?.closeStalled()
    }

    private fun listen(address: Address): Channel = bind(address).sync().channel()

    private fun bind(address: Address): ChannelFuture = CallerPort(
        group,
        registry,
        settings.limits,
        callers,
        acceptsRelays = address == settings.relays,
        callerTable,
        account,
    ).bind(address)

    private fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.Forward -> registry.forward(effect)
            is Effect.Relay -> registry.relay(effect)
            is Effect.AwaitBody -> registry.awaitBody(effect)
            is Effect.CheckUpstream -> connections.check(effect.address) {
                driver.submit(Event.UpstreamChecked(effect.upstream, it))
            }
            is Effect.Refuse -> registry.refuse(effect)
            is Effect.Classify -> registry.attribute(effect)
            is Effect.SendPeer -> peers.send(effect.to, effect.address, effect.message)
            is Effect.SendGrant -> platformClient.grant(effect.address, effect.order)
            is Effect.SendRangeOrder -> platformClient.order(effect.owner, effect.order) {
                driver.submit(Event.RangeOrderEnded(effect.id, it))
            }
            is Effect.CallStore -> storeCalls.start(effect)
            is Effect.CancelStoreCall -> storeCalls.cancel(effect.id)
            is Effect.StateChanged -> {
                metrics.countStateChange(effect.change)
                log.write(effect.change)
            }
            Effect.DutiesHandedOver -> {
                areDutiesHandedOver = true
                log.write("duties-handed-over")
            }
            is Effect.WakeAt -> error("NodeDriver must handle WakeAt itself")
        }
    }

    private companion object {
        const val POLL_MILLIS = 5L
        const val REBIND_MILLIS = 100L
        const val SHUTDOWN_MILLIS = 200L
    }
}
