package cicadagauge.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the head of a request only once it has arrived completely. Decoded header fields take up to 40 times as much
 * memory as their bytes, so that a head that stops short would be dear.
 */
internal open class CompleteHeadDecoder(private val maxHeadBytes: Int, config: HttpDecoderConfig) :
    HttpRequestDecoder(config) {
    private var isInBody = false

    /** The number of bytes after the reader index in which no end of a head was found. */
    private var scannedBytes = 0

    /** The number of bytes that were read since the last message. */
    private var silentBytes = 0

    /** The length of the head of the last request, in bytes. */
    var headBytes = 0
        private set

    /** The estimated memory that undecoded or partly decoded data takes, in bytes. */
    val heldBytes: Long get() = actualReadableBytes() + silentBytes * DECODED_FIELD_FACTOR

    /** Whether a part of a request has arrived, but not all of it. */
    val isInRequest: Boolean get() = isInBody || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!isInBody) {
            skipBlanks(buffer)
            if (!hasCompleteHead(buffer)) return
        }
        val start = buffer.readerIndex()
        val messages = out.size
        super.decode(context, buffer, out)
        val consumed = buffer.readerIndex() - start
        if (out.size == messages) {
            silentBytes += consumed
            return
        }
        if (out[messages] is HttpRequest) headBytes = silentBytes + consumed
        silentBytes = 0
        scannedBytes = 0
        isInBody = out.last() is HttpObject && out.last() !is LastHttpContent
    }

    /** Skips empty lines before a head, as the decoder does. */
    private fun skipBlanks(buffer: ByteBuf) {
        while (buffer.isReadable && buffer.getUnsignedByte(buffer.readerIndex()) <= SPACE) buffer.skipBytes(1)
    }

    /** Whether [buffer] has the end of a head, or more than a head may have. */
    private fun hasCompleteHead(buffer: ByteBuf): Boolean {
        val end = buffer.writerIndex()
        val first = buffer.readerIndex()
        if (end - first > maxHeadBytes) return true
        var index = first + scannedBytes
        while (index < end) {
            val newline = buffer.indexOf(index, end, LINE_FEED)
            if (newline < 0) break
            val next = if (newline + 1 < end) buffer.getByte(newline + 1) else 0
            if (next == LINE_FEED) return true
            if (next == CARRIAGE_RETURN && newline + 2 < end && buffer.getByte(newline + 2) == LINE_FEED) return true
            index = newline + 1
        }
        scannedBytes = maxOf(0, end - first - END_BYTES)
        return false
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toShort()

        /** The length of what ends a head, a line feed and an empty line. */
        const val END_BYTES = 3

        /** The memory that a field of five bytes takes, as a multiple of its length. */
        const val DECODED_FIELD_FACTOR = 40L
    }
}
