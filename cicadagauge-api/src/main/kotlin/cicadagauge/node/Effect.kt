package cicadagauge.node

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.Address
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderId
import cicadagauge.ownership.RangeOwner
import cicadagauge.peer.PeerMessage
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreCallId

/** An action that a node requests from its driver. Drivers execute effects in order. */
public sealed interface Effect {
    /**
     * Sends a request to [upstream]; exactly one [Event.AttemptEnded] follows.
     *
     * @property connections maximum number of connections from this VM to the upstream.
     * @property slot slot of the request's key, or null if the pool is not keyed.
     * @property version version of the ownership record by which the upstream owns [slot], or null.
     * @property customer customer that sent the request, or null on an open route.
     * @property pool pool of the upstream.
     * @property isRepeat whether an earlier attempt has reached an upstream.
     */
    public data class Forward(
        val id: RequestId,
        val upstream: UpstreamId,
        val address: Address,
        val connections: Int,
        val slot: Slot?,
        val version: RecordVersion?,
        val deadline: Moment,
        val customer: CustomerName? = null,
        val pool: PoolName,
        val isRepeat: Boolean = false,
    ) : Effect

    /**
     * Relays a request to its home VM [home], which schedules it; exactly one [Event.AttemptEnded] follows.
     *
     * @property deadline deadline of the request, which the home VM enforces.
     * @property giveUpAt when the attempt ends if the home VM has not answered.
     * @property isRepeat whether an earlier attempt has reached an upstream.
     */
    public data class Relay(
        val id: RequestId,
        val home: VmId,
        val address: Address,
        val request: RelayedRequest,
        val deadline: Moment,
        val giveUpAt: Moment,
        val isRepeat: Boolean = false,
    ) : Effect

    /** Opens a connection to [upstream] and closes it; exactly one [Event.UpstreamChecked] follows. */
    public data class CheckUpstream(val upstream: UpstreamId, val address: Address) : Effect

    /** Asks for the body of a request; one [Event.BodyRead] follows, unless the caller disconnects before. */
    public data class AwaitBody(val id: RequestId) : Effect

    /** Answers a request with [refusal]; no further attempt is made. */
    public data class Refuse(val id: RequestId, val refusal: Refusal) : Effect

    /** Sends [order] to the upstream at [address]; [Event.GrantReported] follows if the upstream answers. */
    public data class SendGrant(val address: Address, val order: GrantOrder) : Effect

    /** Sends [order] to the upstream [owner]; exactly one [Event.RangeOrderEnded] with [id] follows. */
    public data class SendRangeOrder(val id: RangeOrderId, val owner: RangeOwner, val order: RangeOrder) : Effect

    /** Sends [message] to the VM [to] at [address]. */
    public data class SendPeer(val to: VmId, val address: Address, val message: PeerMessage) : Effect

    /** Calls the platform store; exactly one [Event.StoreReplied] with [id] follows, unless the call is cancelled. */
    public data class CallStore(val id: StoreCallId, val call: StoreCall) : Effect

    /** Gives up the store call [id]: its connection is closed, and no reply to it follows. */
    public data class CancelStoreCall(val id: StoreCallId) : Effect

    /** Schedules one [Event.Woken] at [moment]; it replaces any that was scheduled before. */
    public data class WakeAt(val moment: Moment) : Effect

    /** Reports the customer and the class of a request, as soon as they are known. */
    public data class Classify(val id: RequestId, val customer: CustomerName?, val requestClass: RequestClass) : Effect

    /** Reports a change of state, which the driver logs and counts. */
    public data class StateChanged(val change: StateChange) : Effect

    /** Reports that all duties are handed over: the process may stop as soon as its requests are answered. */
    public data object DutiesHandedOver : Effect
}
