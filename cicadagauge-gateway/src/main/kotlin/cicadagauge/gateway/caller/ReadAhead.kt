package cicadagauge.gateway.caller

import cicadagauge.gateway.CallerLimits
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil

/** What a caller has sent behind the request that is being answered, decoded. */
internal class ReadAhead(private val limits: CallerLimits) {
    private class Entry(val message: HttpObject, val bytes: Long)

    private val entries = ArrayDeque<Entry>()
    private var requests = 0

    /** The estimated memory that the entries take, in bytes. */
    var heldBytes = 0L
        private set

    val isEmpty: Boolean get() = entries.isEmpty()

    /** Whether nothing more should be decoded. */
    val isFull: Boolean get() = requests >= limits.readAheadRequests || heldBytes >= limits.readAheadBytes

    /** Adds [message]; [headBytes] is the length of its head where it is a request. */
    fun add(message: HttpObject, headBytes: Int) {
        var bytes = 0L
        if (message is HttpRequest) {
            requests++
            bytes += HeadCost.of(message, headBytes)
        }
        if (message is HttpContent) bytes += message.content().readableBytes()
        heldBytes += bytes
        entries.addLast(Entry(message, bytes))
    }

    /** Takes the next message. */
    fun next(): HttpObject {
        val entry = entries.removeFirst()
        heldBytes -= entry.bytes
        if (entry.message is HttpRequest) requests--
        return entry.message
    }

    /** Releases all messages. */
    fun clear() {
        while (entries.isNotEmpty()) ReferenceCountUtil.release(next())
    }
}
