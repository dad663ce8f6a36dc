package cicadagauge.node

import cicadagauge.identity.BodyDigest
import cicadagauge.identity.RequestId
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.RangeOrderId
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.peer.PeerMessage
import cicadagauge.store.StoreCallId
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreReply
import kotlin.time.Duration

/** An input of a node. A driver passes each event to the node with the current moment. */
public sealed interface Event {
    /** The process has started. */
    public data object Started : Event

    /** The request line and headers of a caller's request have arrived; its body may still be streaming. */
    public data class RequestArrived(val id: RequestId, val head: RequestHead) : Event

    /** A request arrived that another VM has admitted and relayed; [timeLeft] is the time until its deadline. */
    public data class RelayArrived(
        val id: RequestId,
        val request: RelayedRequest,
        val head: RequestHead,
        val timeLeft: Duration,
    ) : Event

    /**
     * An attempt that was started by [Effect.Forward] or [Effect.Relay] has ended.
     *
     * @property body digest of the request's body, or null if too little of the body has been read.
     * @property isBodyRetained whether all that has been read of the request's body is retained. Otherwise the request
     * can't be sent again.
     */
    public data class AttemptEnded(
        val id: RequestId,
        val outcome: AttemptOutcome,
        val body: BodyDigest? = null,
        val isBodyRetained: Boolean = true,
    ) : Event

    /** Enough of the body that was asked for by [Effect.AwaitBody] has been read. */
    public data class BodyRead(val id: RequestId, val body: BodyDigest) : Event

    /** The outcome of the check that was started by [Effect.CheckUpstream]. */
    public data class UpstreamChecked(val upstream: UpstreamId, val state: UpstreamState) : Event

    /** The caller of a queued request disconnected. */
    public data class CallerDisconnected(val id: RequestId) : Event

    /** An upstream answered a grant order, or reported its state unasked. */
    public data class GrantReported(val report: GrantReport) : Event

    /** The outcome of the order that was sent by [Effect.SendRangeOrder]. */
    public data class RangeOrderEnded(val id: RangeOrderId, val outcome: RangeOrderOutcome) : Event

    /**
     * The platform store answered a call, or the call timed out.
     *
     * @property era era that the answer tells; null if it tells none, or there was no answer.
     */
    public data class StoreReplied(val call: StoreCallId, val reply: StoreReply, val era: StoreEra? = null) : Event

    /** A message arrived from another VM, which the driver has authenticated. */
    public data class PeerMessageReceived(val from: VmId, val message: PeerMessage) : Event

    /** The platform's list of VMs was read. */
    public data class VmsListed(val vms: List<Vm>) : Event

    /** The moment that was scheduled by [Effect.WakeAt] has come. */
    public data object Woken : Event

    /**
     * The process may have been suspended for [unseen], a time that its monotonic clock did not count: everything that
     * is valid until a certain moment may have expired. The time is negative if the wall clock was set back.
     */
    public data class Suspended(val unseen: Duration) : Event

    /** A planned shutdown begins: the node hands its duties over and takes no new requests. */
    public data object StopRequested : Event

    /** A planned shutdown ends soon: the node refuses the requests that wait and sends nothing more to upstreams. */
    public data object StopEnding : Event
}

/** What an attempt to connect to an upstream shows. */
public enum class UpstreamState {
    /** The upstream accepts connections. */
    Accepting,

    /** Connections are refused: the upstream's process has ended. */
    Refusing,

    /** Nothing answers, which does not tell a lost host from a network partition. */
    Silent,
}

/** The parts of a request on which routing and admission depend. Header names are case-insensitive. */
public interface RequestHead {
    /** The HTTP method, in upper case. */
    public val method: String

    /** The path, without the query. */
    public val path: String

    /** The query without `?`, or null. */
    public val query: String?

    /** The caller's limit on the time to the answer, or null; zero if it can't be parsed. */
    public val deadline: Duration?

    /** How long the request may have remained unread because the process was suspended. */
    public val readLag: Duration get() = Duration.ZERO

    /** The host in the request, without its port, or null. */
    public val host: String? get() = header("host")?.substringBefore(':')

    /** The customer's key in the request, or null. */
    public val customerKey: String? get() = header(KEY_HEADER)

    /** Returns the value of header [name], or null if the header is missing or has several values. */
    public fun header(name: String): String?

    public companion object {
        /** The header that carries a customer's key, in lower case. */
        public const val KEY_HEADER: String = "x-api-key"
    }
}
