package cicadagauge.identity

import kotlinx.serialization.Serializable

/** Hash of a request's method, path and query. */
@JvmInline
@Serializable
public value class HeadDigest(public val value: Long) {
    override fun toString(): String = HEX.format(value)
}

/** Hash of a request's body, or of its beginning if the body is long. */
@JvmInline
@Serializable
public value class BodyDigest(public val value: Long) {
    override fun toString(): String = HEX.format(value)
}

/**
 * Identifies the content of a request: requests of one [customer] with equal method, path, query and body have the same
 * fingerprint, however often and to whichever VM they are sent.
 */
@Serializable
public data class RequestFingerprint(val customer: CustomerName, val head: HeadDigest, val body: BodyDigest) {
    override fun toString(): String = "$head-$body"
}

private const val HEX = "%016x"
