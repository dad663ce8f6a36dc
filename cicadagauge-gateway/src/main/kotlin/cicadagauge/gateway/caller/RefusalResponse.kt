package cicadagauge.gateway.caller

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.environment.Dialect
import cicadagauge.outcome.Refusal
import cicadagauge.store.Json
import com.fasterxml.jackson.databind.node.ObjectNode
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Encodes refusals as HTTP responses, with the verdict and the reason in headers and in a JSON body. */
internal object RefusalResponse {
    /** The response for [refusal], in [dialect]. */
    fun of(refusal: Refusal, dialect: Dialect): FullHttpResponse {
        val reason = refusal.reason
        val wait = refusal.retryAfter
        val bytes = Json.treeMapper.writeValueAsBytes(body(refusal))
        val status = HttpResponseStatus.valueOf(reason.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes))
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        headers.set(ProtocolHeaders.VERDICT, reason.verdict.code)
        headers.set(ProtocolHeaders.REASON, reason.code)
        if (wait != null) {
            headers.set(HttpHeaderNames.RETRY_AFTER, dialect.retryAfter(wait))
            headers.set(ProtocolHeaders.RETRY_AFTER, wait.inWholeMilliseconds.toString())
        }
        return response
    }

    private fun body(refusal: Refusal): ObjectNode = Json.treeMapper.createObjectNode().apply {
        put("verdict", refusal.reason.verdict.code)
        put("reason", refusal.reason.code)
        put("detail", refusal.detail)
        put("retryAfterMillis", refusal.retryAfter?.inWholeMilliseconds)
    }
}
