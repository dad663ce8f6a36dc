/*
 * Typed identifiers. Every identifier is a value class, so that a customer's name can't be passed
 * where a pool's name is expected, and none of them costs an allocation on the request path.
 */
package cicadagauge.identity

import kotlinx.serialization.Serializable

/** Names one entry VM of the router, for example `vm-3`. */
@JvmInline
@Serializable
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names one availability zone. */
@JvmInline
@Serializable
public value class AvailabilityZone(public val value: String) {
    override fun toString(): String = value
}

/** Names one upstream; unique over all pools of a deployment. */
@JvmInline
@Serializable
public value class UpstreamId(public val value: String) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names one pool of upstreams. */
@JvmInline
@Serializable
public value class PoolName(public val value: String) {
    override fun toString(): String = value
}

/** Names one route. */
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** Names one customer. */
@JvmInline
@Serializable
public value class CustomerName(public val value: String) {
    override fun toString(): String = value
}

/** SHA-256 of a customer's key, as 64 lower-case hexadecimal digits. The key itself is never kept. */
@JvmInline
public value class KeyHash(public val value: String) {
    override fun toString(): String = value
}

/** One of the fixed number of slots that a keyed pool's keys hash to. */
@JvmInline
@Serializable
public value class Slot(public val index: Int) {
    override fun toString(): String = index.toString()
}

/** A request's number within the process that accepted it. */
@JvmInline
@Serializable
public value class RequestId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Identifies one run of an upstream process; a restarted upstream has another one. */
@JvmInline
@Serializable
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one operator's `apply`, so that a lost answer can be resolved by reading back. */
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}

/** The term under which a duty is held. Only a compare-and-swap in the platform store raises it. */
@JvmInline
@Serializable
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    /** The term after this one. */
    public fun next(): Term = Term(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** Below every term that was ever held. */
        public val NONE: Term = Term(0)
    }
}

/** The version of a pool's ownership record; it rises by one with each change of owners. */
@JvmInline
@Serializable
public value class RecordVersion(public val value: Long) : Comparable<RecordVersion> {
    override fun compareTo(other: RecordVersion): Int = value.compareTo(other.value)

    /** The version after this one. */
    public fun next(): RecordVersion = RecordVersion(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** Below every accepted version. */
        public val NONE: RecordVersion = RecordVersion(0)
    }
}

/** The version of the operators' declaration; an accepted one only rises. */
@JvmInline
@Serializable
public value class DeclarationVersion(public val value: Long) : Comparable<DeclarationVersion> {
    override fun compareTo(other: DeclarationVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** No declaration was accepted yet. */
        public val NONE: DeclarationVersion = DeclarationVersion(0)
    }
}

/** An IP address, or `localhost`, with a TCP port. */
@Serializable
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private val PORTS = 1..65_535

        /** The address that [text] spells as host:port with a port in [ports], or null. */
        public fun parse(text: String, ports: IntRange = PORTS): Address? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in ports } ?: return null
            val host = text.substringBeforeLast(':').ifEmpty { return null }
            return Address(host, port)
        }
    }
}
