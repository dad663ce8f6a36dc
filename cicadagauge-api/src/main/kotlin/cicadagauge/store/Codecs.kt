/*
 * Encodings of the values in the platform store. The core decides what is written and when; implementations of these
 * interfaces define the format.
 */
package cicadagauge.store

import arrow.core.Either
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Upstream
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.membership.Vm
import cicadagauge.ownership.OwnershipRecord

/** Why a text can't be decoded. */
public data class CodecError(val problem: String)

/** An accepted declaration: its [version], the [operation] that wrote it and the operators' original [text]. */
public data class StoredDeclaration(val version: DeclarationVersion, val operation: OperationId, val text: String)

/** Encodes and decodes ownership records. */
public interface RecordCodec {
    /** Returns [record] as text. */
    public fun encode(record: OwnershipRecord): String

    /** Decodes the record in [text]. */
    public fun decode(text: String): Either<CodecError, OwnershipRecord>
}

/** Decodes accepted declarations. */
public interface DeclarationCodec {
    /** Decodes the envelope in the stored [text], without parsing the operators' text in it. */
    public fun open(text: String): Either<CodecError, StoredDeclaration>

    /** Parses and validates the operators' [text]. */
    public fun parse(text: String): Either<CodecError, Declaration>
}

/** An upstream that has registered itself for [pool]. */
public data class RegisteredUpstream(val pool: PoolName, val upstream: Upstream)

/** Decodes the registrations of upstreams. */
public interface RegistrationCodec {
    /** Decodes the registration [text] of upstream [id]. */
    public fun decode(id: UpstreamId, text: String): Either<CodecError, RegisteredUpstream>
}

/** Encodes and decodes the registrations of entry VMs. */
public interface VmCodec {
    /** Returns [vm] as text. */
    public fun encode(vm: Vm): String

    /** Decodes the VM in [text]. */
    public fun decode(text: String): Either<CodecError, Vm>
}

/** The codecs for everything that a node reads from and writes to the platform store. */
public data class NodeCodecs(
    val declarations: DeclarationCodec,
    val records: RecordCodec,
    val registrations: RegistrationCodec,
    val vms: VmCodec,
)

/** The keys that the router uses in the platform store. */
public object StoreKeys {
    /** Prefix of the values that operators write. */
    public const val OPERATORS: String = "config/"

    /** Key of the accepted declaration. */
    public val DECLARATION: StoreKey = StoreKey(OPERATORS + "declaration")

    /** Prefix of the availability zones that operators have taken out of service, one key each. */
    public const val ZONES_OUT: String = OPERATORS + "zones-out/"

    /** Prefix of the registrations of upstreams, one key each. */
    public const val UPSTREAMS: String = "upstreams/"

    /** Prefix of the values that the router writes, except for the ownership records. */
    public const val STATE: String = "state/"

    /** Key of the list of seats: the VMs that are entitled to a portion of the customers' rates. */
    public val SEATS: StoreKey = StoreKey(STATE + "seats")

    /**
     * Prefix of the ownership records, one per keyed pool. The records change often and VMs pass them on to each other,
     * so only a few VMs watch this prefix.
     */
    public const val RECORDS: String = "records/"

    /** Prefix of the VMs that hold the pools' duties, one key per keyed pool, each under its holder's lease. */
    public const val DUTIES: String = STATE + "duty/"

    /** Prefix of the registrations of entry VMs, one key per VM under a lease of that VM. */
    public const val VMS: String = STATE + "vm/"
}
