/*
 * One caller's request and its answer. The body is passed on as it comes, without a copy; a bounded part of it is
 * kept, by reference, so that a request that did not run can be sent to another upstream.
 */
package cicadagauge.gateway.caller

import cicadagauge.declaration.RequestClass
import cicadagauge.gateway.CallerLimits
import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.upstream.Attempt
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestId
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
) {
    private val replayContent = ArrayDeque<HttpContent>()
    private var replayBytes = 0
    private var hasBeenAttempted = false

    /** When the request's head was read. */
    val arrivedAt: Moment = MonotonicClock.now()

    var customer: CustomerName? = null
    var requestClass: RequestClass = RequestClass.Normal

    /** Whether another VM has relayed the request here. */
    var isRelayed = false

    /** The attempt that runs now, or null. */
    var attempt: Attempt? = null

    /** Whether a part of the answer has gone to the caller. */
    var hasResponseStarted = false

    /** Whether a part of the request body is still to come, which an early answer can't wait for. */
    val hasMoreBody: Boolean get() = !isBodyComplete && declaresBody

    private val declaresBody =
        HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0

    /** Whether the whole request body was read. */
    var isBodyComplete = false
        private set

    /** Whether the whole request, as far as it was read, is still at hand. */
    var isReplayable = true
        private set

    /** The bytes of the body that were read. */
    var bodyBytes = 0L
        private set

    /** Takes a part of the body; the exchange owns it from now on. */
    fun add(content: HttpContent) {
        val size = content.content().readableBytes()
        bodyBytes += size
        if (content is LastHttpContent) isBodyComplete = true
        if (isReplayable && hasBeenAttempted && replayBytes + size > limits.replayBufferBytes) discardReplayContent()
        if (isReplayable) {
            replayContent.addLast(content)
            replayBytes += size
            attempt?.write(content.retainedDuplicate())
        } else {
            attempt?.write(content) ?: content.release()
        }
    }

    /** Starts [next] with everything that was read so far. */
    fun start(next: Attempt) {
        attempt = next
        hasBeenAttempted = true
        replayContent.forEach { next.write(it.retainedDuplicate()) }
        if (replayBytes > limits.replayBufferBytes) discardReplayContent()
    }

    /** Whether reading should pause, because nobody takes the body yet and enough of it is kept. */
    val shouldPause: Boolean get() = attempt == null && replayBytes >= limits.replayBufferBytes

    /** Drops what is kept. */
    fun discardReplayContent() {
        isReplayable = false
        replayContent.forEach { it.release() }
        replayContent.clear()
        replayBytes = 0
    }
}
