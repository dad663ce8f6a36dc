package cicadagauge.node

import cicadagauge.identity.RequestId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.RangeOrderId
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.peer.PeerMessage
import cicadagauge.store.StoreCallId
import cicadagauge.store.StoreReply
import kotlin.time.Duration

/** What happens to a node. A driver hands each event to the node with the present moment. */
public sealed interface Event {
    /** The process starts. */
    public data object Started : Event

    /** A caller's request line and headers have arrived; its body, if any, is still streaming. */
    public data class RequestArrived(val id: RequestId, val head: RequestHead) : Event

    /** Another VM, which has admitted it, relays a request here; [timeLeft] is what is left of its deadline. */
    public data class RelayArrived(val id: RequestId, val request: RelayedRequest, val timeLeft: Duration) : Event

    /** An attempt that [Effect.Forward] or [Effect.Relay] began has ended. */
    public data class AttemptEnded(val id: RequestId, val outcome: AttemptOutcome) : Event

    /** The caller of a request that waits in a queue went away. */
    public data class CallerLeft(val id: RequestId) : Event

    /** An upstream answered a grant order, or told of itself. */
    public data class GrantReported(val report: GrantReport) : Event

    /** What became of the order that [Effect.SendRangeOrder] sent. */
    public data class RangeOrderEnded(val id: RangeOrderId, val outcome: RangeOrderOutcome) : Event

    /** The store answered a call, or the adapter gave up on it. */
    public data class StoreReplied(val call: StoreCallId, val reply: StoreReply) : Event

    /** A message from another VM, whose identity the adapter has checked. */
    public data class PeerSaid(val from: VmId, val message: PeerMessage) : Event

    /** The platform's list of VMs, as last read. */
    public data class VmsListed(val vms: List<Vm>) : Event

    /** The moment that [Effect.WakeAt] asked for has come. */
    public data object Woken : Event

    /**
     * The process may have stood still for a time that its clock did not count, [unseen] long: whatever was to hold
     * until some moment may be over.
     */
    public data class Suspended(val unseen: Duration) : Event

    /** A planned stop begins: hand duties over and take no new requests. */
    public data object StopRequested : Event
}

/** What of a request the decisions need. Header names are matched without regard to case. */
public interface RequestHead {
    /** The method, in upper case. */
    public val method: String

    /** The path, without the query. */
    public val path: String

    /** The query without `?`, or null. */
    public val query: String?

    /** The caller's own limit on the time to answer, or null. */
    public val deadline: Duration?

    /** How long the request may have lain unread, because the process stood still. */
    public val waited: Duration get() = Duration.ZERO

    /** The host that the caller named, without a port, or null. */
    public val host: String? get() = header("host")?.substringBefore(':')

    /** The customer's key that came with the request, or null. */
    public val customerKey: String? get() = header(KEY_HEADER)

    /** The only value of header [name], or null where it is missing. */
    public fun header(name: String): String?

    public companion object {
        /** The header that carries a customer's key, in lower case. */
        public const val KEY_HEADER: String = "x-api-key"
    }
}
