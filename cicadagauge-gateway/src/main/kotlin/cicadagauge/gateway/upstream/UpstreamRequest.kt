package cicadagauge.gateway.upstream

import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.ProtocolHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/** Builds the head of a request to an upstream, without the customer's key and without hop-by-hop headers. */
internal object UpstreamRequest {
    /** Hop-by-hop headers, and two that the gateway handles itself: it answers `expect` and sets `host`. */
    private val NOT_FORWARDED = setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "host",
    )

    /** The head to send for [request] over [hop]. */
    fun of(request: HttpRequest, hop: Hop): HttpRequest {
        val factory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), factory)
        copy(request.headers(), head.headers(), hop.strippedHeaders)
        val host = request.headers()[HttpHeaderNames.HOST].takeIf { hop.preservesHost } ?: hop.address.toString()
        head.headers().set(HttpHeaderNames.HOST, host)
        hop.addTo(head.headers(), remaining = hop.deadline - MonotonicClock.now())
        return head
    }

    /** Copies the end-to-end headers of a response. */
    fun copyResponseHeaders(from: HttpHeaders, to: HttpHeaders): Unit = copy(from, to, emptySet())

    private fun copy(from: HttpHeaders, to: HttpHeaders, strippedHeaders: Set<String>) {
        val options = from.getAll(HttpHeaderNames.CONNECTION).flatMap { it.lowercase().split(',') }.map { it.trim() }
        for ((name, value) in from.iteratorAsString()) {
            val lower = name.lowercase()
            val isExcluded = lower in NOT_FORWARDED || lower in strippedHeaders || lower in options
            if (!isExcluded && !lower.startsWith(ProtocolHeaders.PREFIX)) to.add(name, value)
        }
    }
}
