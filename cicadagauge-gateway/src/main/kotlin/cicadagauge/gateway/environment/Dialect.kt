/*
 * Representation of requests in HTTP: which headers callers send, which headers upstreams get, and what upstreams'
 * responses prove.
 */
package cicadagauge.gateway.environment

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.node.Effect
import cicadagauge.node.RequestHead
import cicadagauge.outcome.NotRunCause
import cicadagauge.outcome.Verdict
import io.netty.handler.codec.http.HttpHeaders
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The headers that callers and upstreams use. Names are in lower case. */
public interface Dialect {
    /** Callers' headers that are never forwarded to an upstream. */
    public val strippedHeaders: Set<String>

    /** Whether upstreams get the caller's host header instead of their own address. */
    public val preservesHost: Boolean

    /** Whether a response without a length is complete when its connection is closed without a reset. */
    public val allowsCloseDelimitedBody: Boolean

    /** The caller's identifier for its request, by which the logs can be searched, or null. */
    public fun requestId(headers: HttpHeaders): String?

    /** The customer's key among [headers], or null. */
    public fun customerKey(headers: HttpHeaders): String?

    /** How long the caller is willing to wait; null if it doesn't say, zero if the value can't be parsed. */
    public fun deadline(headers: HttpHeaders): Duration?

    /** Adds the headers for the upstream of [forward] to [headers]; [remaining] is the time until the deadline. */
    public fun addUpstreamHeaders(headers: HttpHeaders, forward: Effect.Forward, remaining: Duration)

    /** The cause, if a response proves that the request did not run; null if it doesn't prove that. */
    public fun notRun(status: Int, headers: HttpHeaders): NotRunCause?

    /** How many times longer than usual work takes on the upstream at present; null if the response doesn't say. */
    public fun slowness(headers: HttpHeaders): Double?

    /** Whether a response with [status] and the headers [response] is for [request], as far as the headers show. */
    public fun isResponseTo(status: Int, response: HttpHeaders, request: HttpHeaders): Boolean

    /** Whether [response] names the request that it answers, so that [isResponseTo] recognizes that to another one. */
    public fun namesRequest(response: HttpHeaders): Boolean

    /** Adds to the [refusal] of [request] the headers that callers expect in every response. */
    public fun addRefusalHeaders(refusal: HttpHeaders, request: HttpHeaders)

    /** [wait] as the value of `Retry-After`. */
    public fun retryAfter(wait: Duration): String

    public companion object {
        /** Maximum length of a number of milliseconds: about 11 days. */
        private const val MAX_DIGITS = 9

        /** Parses [text] as a positive whole number of milliseconds; zero if it is none or is too long. */
        public fun parseMillis(text: String): Duration {
            val number = text.takeIf { it.length <= MAX_DIGITS }?.toLongOrNull()?.takeIf { it > 0 }
            return number?.milliseconds ?: Duration.ZERO
        }
    }
}

/** The router's own headers, see [ProtocolHeaders]. */
public object DefaultDialect : Dialect {
    override val strippedHeaders: Set<String> = setOf(RequestHead.KEY_HEADER)
    override val preservesHost: Boolean = false
    override val allowsCloseDelimitedBody: Boolean = false

    override fun requestId(headers: HttpHeaders): String? = headers[ProtocolHeaders.REQUEST_ID]

    override fun customerKey(headers: HttpHeaders): String? = headers.getAll(RequestHead.KEY_HEADER).singleOrNull()

    override fun deadline(headers: HttpHeaders): Duration? =
        headers[ProtocolHeaders.DEADLINE]?.let(Dialect::parseMillis)

    override fun addUpstreamHeaders(headers: HttpHeaders, forward: Effect.Forward, remaining: Duration) {
        headers.set(ProtocolHeaders.DEADLINE, maxOf(1L, remaining.inWholeMilliseconds).toString())
        forward.slot?.let { headers.set(ProtocolHeaders.SLOT, it.index.toString()) }
        forward.version?.let { headers.set(ProtocolHeaders.VERSION, it.value.toString()) }
    }

    override fun notRun(status: Int, headers: HttpHeaders): NotRunCause? {
        if (headers[ProtocolHeaders.VERDICT] != Verdict.NotRun.code) return null
        return when (headers[ProtocolHeaders.REASON]) {
            "not-owner" -> NotRunCause.NotOwner
            "draining" -> NotRunCause.Draining
            else -> NotRunCause.Busy
        }
    }

    override fun slowness(headers: HttpHeaders): Double? = null

    override fun isResponseTo(status: Int, response: HttpHeaders, request: HttpHeaders): Boolean = true

    override fun namesRequest(response: HttpHeaders): Boolean = false

    override fun addRefusalHeaders(refusal: HttpHeaders, request: HttpHeaders): Unit = Unit

    /** Whole seconds, rounded up, because HTTP allows no fractions. */
    override fun retryAfter(wait: Duration): String = ceil(wait.toDouble(DurationUnit.SECONDS)).toLong().toString()
}
