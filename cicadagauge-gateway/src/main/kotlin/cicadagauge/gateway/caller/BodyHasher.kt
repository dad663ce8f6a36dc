package cicadagauge.gateway.caller

import cicadagauge.identity.BodyDigest
import com.dynatrace.hash4j.hashing.HashStream64
import com.dynatrace.hash4j.hashing.Hashing
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil

/** Computes the digest of a request body from its first [maxBytes], so that long bodies can be streamed. */
internal class BodyHasher(private val maxBytes: Int = MAX_HASHED_BYTES) {
    private var stream: HashStream64? = null
    private var hashedBytes = 0

    /** Adds the readable bytes of [content], the next part of the body; its reader index stays. */
    fun add(content: ByteBuf) {
        val length = minOf(content.readableBytes(), maxBytes - hashedBytes)
        if (length <= 0) return
        val hasher = stream ?: Hashing.xxh3_64().hashStream().also { stream = it }
        hasher.putBytes(ByteBufUtil.getBytes(content, content.readerIndex(), length, false))
        hashedBytes += length
    }

    /** The digest, or null if the body is neither read far enough nor complete, as [isBodyComplete] says. */
    fun digest(isBodyComplete: Boolean): BodyDigest? {
        if (!isBodyComplete && hashedBytes < maxBytes) return null
        return BodyDigest(stream?.asLong ?: 0L)
    }

    companion object {
        /** How much of a body is hashed at most, in bytes. */
        const val MAX_HASHED_BYTES = 16_384
    }
}
