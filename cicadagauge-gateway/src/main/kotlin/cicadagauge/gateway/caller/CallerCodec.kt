package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.CompleteHeadDecoder
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/**
 * Decodes callers' requests and rejects those that two parsers could interpret differently. What [handler] has no room
 * for is kept as bytes; beyond [CallerLimits.readAheadBytes] of them, reading from the connection pauses.
 */
internal class StrictRequestDecoder(private val limits: CallerLimits, private val handler: CallerHandler) :
    CompleteHeadDecoder(limits.requestLineBytes + limits.headerBytes, config(limits)) {
    private var isPaused = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        super.channelRead(context, message)
        handler.undecodedBytes = heldBytes
        if (isPaused || actualReadableBytes() < limits.readAheadBytes) return
        isPaused = true
        handler.pauseReadAhead(true)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (handler.isReadAheadFull) return
        super.decode(context, buffer, out)
        handler.lastHeadBytes = headBytes
    }

    /** Continues to decode after [handler] has room again. */
    fun resume(context: ChannelHandlerContext) {
        if (actualReadableBytes() > 0) channelRead(context, Unpooled.EMPTY_BUFFER)
        if (!isPaused || actualReadableBytes() >= limits.readAheadBytes) return
        isPaused = false
        handler.pauseReadAhead(false)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both content-length and transfer-encoding")

    private companion object {
        const val CHUNK_BYTES = 16_384

        fun config(limits: CallerLimits): HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.requestLineBytes)
            .setMaxHeaderSize(limits.headerBytes)
            .setMaxChunkSize(CHUNK_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true)
    }
}

/** Encodes responses; a response to HEAD has no body, whatever its headers say. */
internal class ResponseEncoder : HttpResponseEncoder() {
    private var isResponseToHead = false

    /** Tells the encoder that the next response is for [request]. */
    fun expect(request: HttpRequest) {
        isResponseToHead = request.method() == HttpMethod.HEAD
    }

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        isResponseToHead || super.isContentAlwaysEmpty(response)
}
