package cicadagauge.gateway.upstream

import cicadagauge.identity.Address
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler

/** Opens connections to upstreams. */
internal fun interface Connector {
    /** Connects to [address]; the connection's pipeline consists of [handler]. */
    fun connect(address: Address, handler: ChannelHandler): ChannelFuture
}
