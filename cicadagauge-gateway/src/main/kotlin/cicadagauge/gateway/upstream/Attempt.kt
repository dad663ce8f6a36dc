package cicadagauge.gateway.upstream

import cicadagauge.outcome.AttemptOutcome
import io.netty.handler.codec.http.HttpContent

/** One attempt to run a request, at one upstream or through its home VM. */
internal interface Attempt {
    /** Sends [content], a part of the request body; the attempt takes ownership of it. */
    fun write(content: HttpContent)

    /** Whether the upstream's connection accepts more data at present. */
    val isWritable: Boolean

    /** The number of body bytes that the attempt holds, until the upstream has taken them. */
    val heldBytes: Long

    /** Pauses or resumes reading the response, according to how fast the caller reads. */
    fun pauseResponse(pause: Boolean)

    /** Ends the attempt because the caller has disconnected. */
    fun cancel()

    /** Ends the attempt with [outcome]. */
    fun end(outcome: AttemptOutcome)
}
