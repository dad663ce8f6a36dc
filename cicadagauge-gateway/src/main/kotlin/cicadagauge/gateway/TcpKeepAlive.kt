package cicadagauge.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * Detects dead connections with TCP keep-alive probes. Without them, an idle connection that a device on the network
 * path has dropped looks open forever, and a call that waits on it never ends.
 */
internal object TcpKeepAlive {
    /** Seconds without traffic before the first probe, and between probes; a dead connection ends in a few seconds. */
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBE_COUNT = 2

    /** Enables keep-alive probes on the connections of [bootstrap]. */
    fun enable(bootstrap: Bootstrap): Bootstrap = bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
}
