package cicadagauge.gateway.upstream

/** How the body of a response ended. Only what was read shows that a response [isComplete]. */
internal enum class BodyEnd(val isComplete: Boolean) {
    /** As its framing says: after the given length, with the last chunk, or at once where there is no body. */
    Framed(isComplete = true),

    /** With the end of the upstream's data on the connection, which ends a response without framing. */
    EndOfData(isComplete = true),

    /** By a reset, found by a read or by a write, by a close of this side, or before the end of its framing. */
    CutOff(isComplete = false),
    ;

    companion object {
        /**
         * The end of a body that the decoder has reported. [hasReadEnd] says whether the end of the upstream's data was
         * read: the decoder also reports the end of a body without framing when the connection is closed otherwise.
         */
        fun of(isFramed: Boolean, hasReadEnd: Boolean): BodyEnd = when {
            isFramed -> Framed
            hasReadEnd -> EndOfData
            else -> CutOff
        }
    }
}
