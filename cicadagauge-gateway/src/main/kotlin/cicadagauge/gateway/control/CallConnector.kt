package cicadagauge.gateway.control

import cicadagauge.identity.Address
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import kotlin.time.Duration

/** Opens connections for calls. */
internal fun interface CallConnector {
    /** Connects to [address] within [timeout]; [handler] is added to the pipeline of the connection. */
    fun connect(address: Address, timeout: Duration, handler: ChannelHandler): ChannelFuture
}
