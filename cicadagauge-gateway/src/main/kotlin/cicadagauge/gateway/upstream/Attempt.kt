package cicadagauge.gateway.upstream

import cicadagauge.outcome.AttemptOutcome
import io.netty.handler.codec.http.HttpContent

/** One try of a request at one upstream. */
internal interface Attempt {
    /** Passes a part of the request's body on; the attempt owns it from now on. */
    fun write(content: HttpContent)

    /** Whether the upstream's connection takes more at present. */
    val isWritable: Boolean

    /** Stops or resumes reading the answer, because the caller reads slowly. */
    fun pauseResponse(pause: Boolean)

    /** Ends the attempt because the caller went away. */
    fun cancel()

    /** Ends the attempt with [outcome]. */
    fun end(outcome: AttemptOutcome)
}
