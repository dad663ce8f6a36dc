package cicadagauge.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * Ends connections that something on the way has lost track of: without probes an idle connection that has gone silent
 * looks open for good, and a call that waits on it never ends.
 */
internal object TcpKeepAlive {
    /** Seconds without traffic before the first probe, and between probes; a few seconds in all until the end. */
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBE_COUNT = 2

    /** Lets connections of [bootstrap] be probed while they are idle. */
    fun enable(bootstrap: Bootstrap): Bootstrap = bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
}
