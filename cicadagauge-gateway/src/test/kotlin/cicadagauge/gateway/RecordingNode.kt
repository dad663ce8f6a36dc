package cicadagauge.gateway

import cicadagauge.gateway.environment.DefaultDialect
import cicadagauge.gateway.log.EventLog
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.gateway.upstream.UpstreamConnections
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.Node
import cicadagauge.node.NodeStatus
import io.netty.channel.EventLoop

/** A node that records its events and decides nothing. */
internal class RecordingNode : Node {
    val events = ArrayList<Event>()

    override fun handle(event: Event, now: Moment): List<Effect> = emptyList<Effect>().also { events += event }

    override fun status(now: Moment): NodeStatus = error("not called in these tests")

    /** A registry on [loop] that hands requests to this node and sends them over [connections]. */
    fun registry(
        loop: EventLoop,
        loopMonitor: EventLoopMonitor,
        connections: UpstreamConnections = UpstreamConnections(loop, UpstreamLimits(), DefaultDialect) { _, _ -> },
    ) = RequestRegistry(
        driver = NodeDriver(this, loop).apply { effectHandler = EffectHandler { } },
        connections = connections,
        metrics = GatewayMetrics { 0 },
        secret = "secret",
        dialect = DefaultDialect,
        log = EventLog(VmId("vm")) { Moment.ZERO },
        loopMonitor = loopMonitor,
        loop = loop,
    )
}
