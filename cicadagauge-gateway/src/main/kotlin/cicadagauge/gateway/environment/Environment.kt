/*
 * Interfaces to the platform that a gateway runs on. The router's own environment uses its own store, VM list and
 * upstreams; an adapter for another platform implements the same interfaces.
 */
package cicadagauge.gateway.environment

import cicadagauge.gateway.control.CancellableCall
import cicadagauge.identity.Address
import cicadagauge.node.Event
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.ownership.RangeOwner
import cicadagauge.store.NodeCodecs
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreReply
import io.netty.channel.EventLoop

/** Adapter for one platform. */
public interface Environment {
    /** Codecs of the values in the store. */
    public val codecs: NodeCodecs

    /** Headers by which callers and upstreams exchange requests. */
    public val dialect: Dialect

    /** Does work that is slow the first time, such as class loading, before requests have to wait for it. */
    public fun warmUp(): Unit = Unit

    /**
     * Creates the connections of one gateway, which run on [loop]. [submit] receives events from the platform and must
     * be called on [loop].
     */
    public fun connect(loop: EventLoop, submit: (Event) -> Unit): PlatformClient
}

/** A gateway's connections to its platform. All functions are called on the event loop. */
public interface PlatformClient {
    /** Starts reporting events that the gateway did not ask for, such as changes of the VM list. */
    public fun start()

    /**
     * Makes [call] on the store; [reply] is called exactly once, with the result and the era that the store's answer
     * tells, if any, unless the call is cancelled.
     */
    public fun store(call: StoreCall, reply: (StoreReply, StoreEra?) -> Unit): CancellableCall

    /** Sends [order] to the upstream at [address]. The upstream's report, if any, is submitted as an event. */
    public fun grant(address: Address, order: GrantOrder)

    /** Sends [order] to [owner]; [onEnded] is called exactly once, with the outcome. */
    public fun order(owner: RangeOwner, order: RangeOrder, onEnded: (RangeOrderOutcome) -> Unit)
}
