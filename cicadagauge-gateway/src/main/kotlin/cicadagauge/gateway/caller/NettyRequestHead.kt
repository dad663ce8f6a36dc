package cicadagauge.gateway.caller

import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.node.RequestHead
import io.netty.handler.codec.http.HttpRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The head of a request that Netty has read. */
internal class NettyRequestHead(private val request: HttpRequest) : RequestHead {
    override val method: String = request.method().name()
    override val path: String = request.uri().substringBefore('?')
    override val query: String? = request.uri().substringAfter('?', "").ifEmpty { null }
    override val deadline: Duration? = request.headers()[ProtocolHeaders.DEADLINE]?.let(::millis)

    override fun header(name: String): String? {
        val values = request.headers().getAll(name)
        return values.singleOrNull()
    }

    /** A deadline that is no positive whole number counts as none left. */
    private fun millis(text: String): Duration {
        val number = text.takeIf { it.length <= MAX_DIGITS }?.toLongOrNull()?.takeIf { it > 0 }
        return number?.milliseconds ?: Duration.ZERO
    }

    private companion object {
        const val MAX_DIGITS = 9
    }
}
