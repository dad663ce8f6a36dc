package cicadagauge.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** What the head of a response means for the request that waits for it. */
internal enum class ResponseHead {
    /** The head of the answer. */
    Answer,

    /** An interim response, which the answer follows. */
    Interim,

    /** No answer to the request; what follows can't be interpreted. */
    Invalid,
}

/** Decides which heads of responses are answers, on one connection. */
internal class ResponseHeads {
    private var interimHeads = 0

    /** Expects the response to the next request. */
    fun expectNext() {
        interimHeads = 0
    }

    /** Classifies [response], the next head that was read. No request asks for another protocol. */
    fun classify(response: HttpResponse): ResponseHead = when {
        response.status().code() !in STATUSES || response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
            ResponseHead.Invalid
        response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size > 1 -> ResponseHead.Invalid
        response.status().code() >= FIRST_FINAL_STATUS -> ResponseHead.Answer
        ++interimHeads > MAX_INTERIM_HEADS -> ResponseHead.Invalid
        else -> ResponseHead.Interim
    }

    private companion object {
        val STATUSES = 100..599
        const val FIRST_FINAL_STATUS = 200

        /** How many interim responses may precede an answer. */
        const val MAX_INTERIM_HEADS = 16
    }
}
