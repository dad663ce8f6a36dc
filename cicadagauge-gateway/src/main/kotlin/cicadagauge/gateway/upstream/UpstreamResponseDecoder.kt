package cicadagauge.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException

/**
 * Decodes the responses that [handler] waits for. Netty's decoder skips empty lines and control characters before a
 * response without a message, so bytes that belong to no response are recognized here.
 */
internal class UpstreamResponseDecoder(private val handler: UpstreamHandler) : HttpResponseDecoder() {
    /** The number of bytes that have been read since the last message. */
    private var silentBytes = 0

    /** The number of bytes of the present read that belong to no response. */
    private var unsolicitedBytes = 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val length = (message as ByteBuf).readableBytes()
        unsolicitedBytes = 0
        super.channelRead(context, message)
        if (unsolicitedBytes > 0) handler.rejectData(unsolicitedBytes) else handler.endRead(length)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val length = buffer.readableBytes()
        if (!handler.expectsData) {
            buffer.skipBytes(length)
            unsolicitedBytes += length
            return
        }
        val messages = out.size
        super.decode(context, buffer, out)
        silentBytes = if (out.size > messages) 0 else silentBytes + length - buffer.readableBytes()
        if (silentBytes > MAX_SILENT_BYTES) throw TooLongHttpHeaderException("more than $MAX_SILENT_BYTES bytes")
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) handler.endOfDataRead()
        super.userEventTriggered(context, event)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || handler.attempt?.exchange?.request?.method() == HttpMethod.HEAD

    private companion object {
        /** More than the longest head that the decoder accepts. */
        const val MAX_SILENT_BYTES = 32_768
    }
}
