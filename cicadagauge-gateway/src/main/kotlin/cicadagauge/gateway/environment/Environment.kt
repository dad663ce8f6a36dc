/*
 * What a gateway needs of the platform that it runs on. The router's own environment speaks to its own store, VM list
 * and upstreams; an adapter for another platform implements the same interfaces.
 */
package cicadagauge.gateway.environment

import cicadagauge.identity.Address
import cicadagauge.node.Event
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.ownership.RangeOwner
import cicadagauge.store.NodeCodecs
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreReply
import io.netty.channel.EventLoop

/** One platform. */
public interface Environment {
    /** How the store's values are spelled. */
    public val codecs: NodeCodecs

    /** How requests are spelled. */
    public val dialect: Dialect

    /** Does what takes long when it is done first, before others wait for it. */
    public fun warmUp(): Unit = Unit

    /** Makes the connections of one gateway, which live on [loop]. Events from outside go to [submit]. */
    public fun connect(loop: EventLoop, submit: (Event) -> Unit): Links
}

/** A gateway's connections to its platform. All of it is called on the event loop. */
public interface Links {
    /** Begins to report what the platform says unasked. */
    public fun start()

    /** Makes [call] on the store; [reply] is called exactly once. */
    public fun store(call: StoreCall, reply: (StoreReply) -> Unit)

    /** Sends [order] to the upstream at [address]. */
    public fun grant(address: Address, order: GrantOrder)

    /** Sends [order] to [owner]; [ended] is called exactly once. */
    public fun order(owner: RangeOwner, order: RangeOrder, ended: (RangeOrderOutcome) -> Unit)
}
