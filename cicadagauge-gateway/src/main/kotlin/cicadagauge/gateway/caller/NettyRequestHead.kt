package cicadagauge.gateway.caller

import cicadagauge.gateway.environment.Dialect
import cicadagauge.node.RequestHead
import io.netty.handler.codec.http.HttpRequest
import kotlin.time.Duration

/** The head of a request that Netty has decoded, interpreted in [dialect]. */
internal class NettyRequestHead(
    private val request: HttpRequest,
    private val dialect: Dialect,
    override val readLag: Duration,
) : RequestHead {
    override val method: String = request.method().name()
    override val path: String = request.uri().substringBefore('?')
    override val query: String? = request.uri().substringAfter('?', "").ifEmpty { null }
    override val deadline: Duration? = dialect.deadline(request.headers())
    override val customerKey: String? get() = dialect.customerKey(request.headers())

    override fun header(name: String): String? = request.headers().getAll(name).singleOrNull()
}
