package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.RequestRegistry
import cicadagauge.gateway.memory.ConnectionTable
import cicadagauge.gateway.memory.MemoryAccount
import cicadagauge.identity.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.ChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.timeout.IdleStateHandler
import java.util.concurrent.TimeUnit

/**
 * A port on which requests arrive. Each connection is read until nothing is left, so that its end is noticed in the
 * same turn of the event loop as the request before it. A VM that is short of processor time would otherwise run
 * requests whose callers left long ago.
 *
 * @param connections the open connections of all ports
 * @param table the same connections, of which the ones that are used least make room for others
 * @param account what the connections make this VM hold
 * @param acceptsRelays whether other VMs may relay requests to this port
 */
internal class CallerPort(
    private val group: EventLoopGroup,
    private val registry: RequestRegistry,
    private val limits: CallerLimits,
    private val connections: ChannelGroup,
    private val acceptsRelays: Boolean,
    private val table: ConnectionTable<CallerHandler> = ConnectionTable(limits.connections),
    private val account: MemoryAccount = MemoryAccount(),
) {
    /** Binds [address]. */
    fun bind(address: Address): ChannelFuture =
        ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingToTheEnd())
            .childHandler(Initializer())
            .bind(address.host, address.port)

    private fun readingToTheEnd() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN)

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = CallerHandler(registry, limits, acceptsRelays, account, table::touch)
            if (!table.add(handler, registry::recordEviction)) {
                registry.recordNoRoom()
                channel.close()
                return
            }
            channel.closeFuture().addListener { table.remove(handler) }
            connections.add(channel)
            channel.pipeline().addLast(
                StrictRequestDecoder(limits, handler),
                ResponseEncoder(),
                IdleStateHandler(limits.idleTimeout.inWholeSeconds, 0, 0, TimeUnit.SECONDS),
                handler,
            )
        }
    }

    private companion object {
        const val MAX_READS_PER_TURN = 16
    }
}
