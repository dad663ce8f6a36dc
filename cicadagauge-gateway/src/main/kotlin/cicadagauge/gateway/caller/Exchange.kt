/*
 * One caller's request and its response. The body is forwarded as it arrives, without copying; a bounded number of
 * bytes is retained, by reference, so that a request that did not run can be sent to another upstream.
 */
package cicadagauge.gateway.caller

import cicadagauge.declaration.RequestClass
import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.upstream.Attempt
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestId
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** The state of one request on the caller's side. */
internal class Exchange(
    val id: RequestId,
    val request: HttpRequest,
    val caller: CallerHandler,
    private val limits: CallerLimits,
    headBytes: Int = 0,
) {
    private val replayContent = ArrayDeque<HttpContent>()
    private val bodyHasher = BodyHasher(maxBytes = minOf(BodyHasher.MAX_HASHED_BYTES, limits.replayBufferBytes))
    private var digestListener: ((BodyDigest) -> Unit)? = null
    private var replayBytes = 0
    private var smallPieces: HttpContent? = null

    /** When the request's head was read. */
    val arrivedAt: Moment = MonotonicClock.now()

    var customer: CustomerName? = null
    var requestClass: RequestClass = RequestClass.Normal

    /** Whether another VM has relayed the request to this one. */
    var isRelayed = false

    /** The attempt in progress, or null. */
    var attempt: Attempt? = null

    /** Whether an attempt has been started, so that an upstream may have run the request. */
    var wasAttempted = false
        private set

    /** The number of body bytes that are held, for this attempt or for further ones. */
    val heldBodyBytes: Long get() = maxOf(replayBytes.toLong(), attempt?.heldBytes ?: 0L)

    /** The estimated memory that the decoded head takes, in bytes. */
    val heldHeadBytes: Long = HeadCost.of(request, headBytes)

    /** Whether a part of the response has been passed to the caller. */
    var hasResponseStarted = false

    /**
     * Whether a part of the request body has not arrived yet. A response that begins earlier doesn't wait for it, and
     * the connection is closed after the response.
     */
    val hasMoreBody: Boolean get() = !isBodyComplete && declaresBody

    private val declaresBody =
        HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0

    /** Whether the complete request body has been read. */
    var isBodyComplete = false
        private set

    /** Whether everything that has been read of the body is retained, so that the request can be sent again. */
    var isBodyRetained = true
        private set

    /** The number of body bytes that have been read. */
    var bodyBytes = 0L
        private set

    /** The digest of the body, or null if too little of the body has been read. */
    val bodyDigest: BodyDigest? get() = bodyHasher.digest(isBodyComplete)

    /** Calls [listener] once with the digest of the body, as soon as it is known. */
    fun awaitBodyDigest(listener: (BodyDigest) -> Unit) {
        digestListener = listener
        notifyDigestListener()
    }

    private fun notifyDigestListener() {
        val listener = digestListener ?: return
        val digest = bodyDigest ?: return
        digestListener = null
        listener(digest)
    }

    /** Adds a part of the request body; the exchange takes ownership of [content]. */
    fun add(content: HttpContent) {
        val size = content.content().readableBytes()
        bodyBytes += size
        bodyHasher.add(content.content())
        if (content is LastHttpContent) isBodyComplete = true
        // Only an attempt in progress takes what is not retained: between attempts, the next one needs all of it.
        if (attempt != null && replayBytes + size > limits.replayBufferBytes) discardReplayContent()
        if (isBodyRetained) {
            val sent = if (attempt == null) null else content.retainedDuplicate()
            retain(content, size)
            sent?.let { attempt?.write(it) }
        } else {
            attempt?.write(content) ?: content.release()
        }
        notifyDigestListener()
    }

    /** Retains [content]. Small pieces are collected, since each would keep the whole buffer that it was read into. */
    private fun retain(content: HttpContent, size: Int) {
        replayBytes += size
        if (content is LastHttpContent || size > SMALL_PIECE_BYTES) {
            smallPieces = null
            replayContent.addLast(content)
            return
        }
        var collected = smallPieces
        if (collected == null || collected.content().maxWritableBytes() < size) {
            collected = DefaultHttpContent(Unpooled.buffer(size, COLLECTED_BYTES))
            smallPieces = collected
            replayContent.addLast(collected)
        }
        collected.content().writeBytes(content.content(), content.content().readerIndex(), size)
        content.release()
    }

    /**
     * Starts attempt [next] with everything that has been read so far. Returns false, and starts nothing, if a part of
     * the body is no longer retained.
     */
    fun start(next: Attempt): Boolean {
        if (!isBodyRetained) return false
        attempt = next
        wasAttempted = true
        // What the attempt has been given may not grow.
        smallPieces = null
        replayContent.forEach { next.write(it.retainedDuplicate()) }
        if (replayBytes > limits.replayBufferBytes) discardReplayContent()
        return true
    }

    /** Whether reading should pause, because no attempt takes the body yet and the replay buffer is full. */
    val shouldPause: Boolean get() = attempt == null && replayBytes >= limits.replayBufferBytes

    /** Releases the retained body; the request can no longer be sent again. */
    fun discardReplayContent() {
        isBodyRetained = false
        smallPieces = null
        replayContent.forEach { it.release() }
        replayContent.clear()
        replayBytes = 0
    }

    private companion object {
        /** Pieces of a body up to this length are collected. */
        const val SMALL_PIECE_BYTES = 512
        const val COLLECTED_BYTES = 4_096
    }
}

/** Estimates the memory that a decoded head takes. */
internal object HeadCost {
    private const val REQUEST_BYTES = 512L
    private const val FIELD_BYTES = 200L

    /** The memory of [request] in bytes, whose head arrived as [headBytes]. */
    fun of(request: HttpRequest, headBytes: Int): Long =
        REQUEST_BYTES + FIELD_BYTES * request.headers().size() + 2L * headBytes
}
