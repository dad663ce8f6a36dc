package cicadagauge.gateway.upstream

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.environment.Dialect
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.node.Effect
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * Destination of an attempt and the headers that are added for it: an upstream, or with [isRelay] the home VM that
 * schedules the request. [receiver] is its id, for the log. [maxConnections] bounds the connections to [address].
 * The request must be sent before [deadline]; the attempt ends at [giveUpAt] if no response has begun by then. Headers
 * named in [strippedHeaders] are not forwarded. [preservesHost] forwards the caller's host header unchanged.
 */
internal class Hop(
    val id: RequestId,
    val address: Address,
    val maxConnections: Int,
    val deadline: Moment,
    val giveUpAt: Moment = deadline,
    val isRelay: Boolean,
    val receiver: String,
    val slot: Slot? = null,
    val version: RecordVersion? = null,
    val strippedHeaders: Set<String>,
    val preservesHost: Boolean,
    private val addHeaders: (HttpHeaders, Duration) -> Unit,
) {
    /** Adds the headers for the receiver to [headers]; [remaining] is the time until the deadline. */
    fun addTo(headers: HttpHeaders, remaining: Duration): Unit = addHeaders(headers, remaining)

    companion object {
        private const val MAX_RELAY_CONNECTIONS = 2_000

        /** The hop to an upstream, in [dialect]. */
        fun of(effect: Effect.Forward, dialect: Dialect): Hop = Hop(
            id = effect.id,
            address = effect.address,
            maxConnections = effect.connections,
            deadline = effect.deadline,
            isRelay = false,
            receiver = effect.upstream.value,
            slot = effect.slot,
            version = effect.version,
            strippedHeaders = dialect.strippedHeaders,
            preservesHost = dialect.preservesHost,
        ) { headers, remaining -> dialect.addUpstreamHeaders(headers, effect, remaining) }

        /** The hop to a home VM, which accepts a relayed request only with the deployment's [secret]. */
        fun of(effect: Effect.Relay, secret: String, dialect: Dialect): Hop = Hop(
            id = effect.id,
            address = effect.address,
            maxConnections = MAX_RELAY_CONNECTIONS,
            deadline = effect.deadline,
            giveUpAt = effect.giveUpAt,
            isRelay = true,
            receiver = effect.home.value,
            strippedHeaders = dialect.strippedHeaders,
            preservesHost = true,
        ) { headers, remaining ->
            headers.set(ProtocolHeaders.SECRET, secret)
            headers.set(ProtocolHeaders.RELAY, RelayHeader.write(effect.request))
            headers.set(ProtocolHeaders.DEADLINE, maxOf(1L, remaining.inWholeMilliseconds).toString())
        }
    }
}
