/*
 * Typed identifiers. They are value classes, so that for example a customer's name can't be passed where a pool's name
 * is expected, without an allocation on the request path.
 */
package cicadagauge.identity

import kotlinx.serialization.Serializable

/** Identifies an entry VM of the router, for example `vm-3`. */
@JvmInline
@Serializable
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an availability zone. */
@JvmInline
@Serializable
public value class AvailabilityZone(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an upstream; unique across all pools of a deployment. */
@JvmInline
@Serializable
public value class UpstreamId(public val value: String) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a pool of upstreams. */
@JvmInline
@Serializable
public value class PoolName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a route. */
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a customer. */
@JvmInline
@Serializable
public value class CustomerName(public val value: String) {
    override fun toString(): String = value
}

/** SHA-256 hash of a customer's key as 64 lower-case hexadecimal digits. The key itself is never stored. */
@JvmInline
public value class KeyHash(public val value: String) {
    override fun toString(): String = value
}

/** One of the slots that the keys of a keyed pool are mapped to; numbered from zero. */
@JvmInline
@Serializable
public value class Slot(public val index: Int) {
    override fun toString(): String = index.toString()
}

/** Identifies a request within the process that accepted it. */
@JvmInline
@Serializable
public value class RequestId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Identifies one run of an upstream's process; it changes when the upstream restarts. */
@JvmInline
@Serializable
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one operator's `apply`. If the answer to the write was lost, the identifier in the stored value shows
 * whether the write took effect.
 */
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}

/**
 * The term of a pool's allocator. A VM that takes the pool's duty, the role of its allocator, raises the term; only a
 * compare-and-swap in the platform store can do so.
 */
@JvmInline
@Serializable
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    /** Returns the term after this one. */
    public fun next(): Term = Term(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** Lower than every term of an allocator. */
        public val NONE: Term = Term(0)
    }
}

/** The version of a pool's ownership record; it rises by one with each change of owners. */
@JvmInline
@Serializable
public value class RecordVersion(public val value: Long) : Comparable<RecordVersion> {
    override fun compareTo(other: RecordVersion): Int = value.compareTo(other.value)

    /** Returns the version after this one. */
    public fun next(): RecordVersion = RecordVersion(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** Lower than the version of every record. */
        public val NONE: RecordVersion = RecordVersion(0)
    }
}

/** The version of the operators' declaration; it rises with each accepted declaration. */
@JvmInline
@Serializable
public value class DeclarationVersion(public val value: Long) : Comparable<DeclarationVersion> {
    override fun compareTo(other: DeclarationVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** No declaration has been accepted yet. */
        public val NONE: DeclarationVersion = DeclarationVersion(0)
    }
}

/** An IP address, or `localhost`, with a TCP port. */
@Serializable
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private val PORTS = 1..65_535

        /**
         * Parses `host:port`; returns null if [text] has another form or the port is not in [ports]. The host is not
         * validated.
         */
        public fun parse(text: String, ports: IntRange = PORTS): Address? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in ports } ?: return null
            val host = text.substringBeforeLast(':').ifEmpty { return null }
            return Address(host, port)
        }
    }
}
