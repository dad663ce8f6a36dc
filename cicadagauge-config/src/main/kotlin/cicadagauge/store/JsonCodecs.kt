/*
 * The JSON forms of the values in the platform store and of the messages between VMs. Identifiers are written as plain
 * strings and numbers, durations as nanoseconds, sets of slots as Base64.
 */
package cicadagauge.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationReader
import cicadagauge.declaration.YamlDeclarationReader
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.identity.UpstreamId
import cicadagauge.membership.Vm
import cicadagauge.ownership.OwnershipRecord
import com.fasterxml.jackson.core.JsonProcessingException

/** Ownership records as JSON. */
public class JsonRecordCodec : RecordCodec {
    override fun encode(record: OwnershipRecord): String = MessageJson.write(record, OwnershipRecord.serializer())

    override fun decode(text: String): Either<CodecError, OwnershipRecord> =
        MessageJson.read(text, OwnershipRecord.serializer())
}

/** Upstreams' registrations as JSON. Decoding fails if a registration carries another upstream's ID than its key. */
public class JsonRegistrationCodec : RegistrationCodec {
    override fun decode(id: UpstreamId, text: String): Either<CodecError, RegisteredUpstream> =
        readJson(text) { Json.mapper.readValue(it, RegisteredUpstream::class.java) }.flatMap { read ->
            if (read.upstream.id == id) read.right() else CodecError("registration has ID '${read.upstream.id}'").left()
        }
}

/** Entry VMs' registrations as JSON. */
public class JsonVmCodec : VmCodec {
    override fun encode(vm: Vm): String = MessageJson.write(vm, Vm.serializer())

    override fun decode(text: String): Either<CodecError, Vm> = MessageJson.read(text, Vm.serializer())
}

/** The codecs for the router's own format of all values in the platform store. */
public object JsonCodecs {
    /** Returns one codec for each kind of value. */
    public fun all(): NodeCodecs =
        NodeCodecs(JsonDeclarationCodec(), JsonRecordCodec(), JsonRegistrationCodec(), JsonVmCodec())
}

/** Accepted declarations as JSON: an envelope with the version, the operation and the text that operators wrote. */
public class JsonDeclarationCodec(private val reader: DeclarationReader = YamlDeclarationReader()) : DeclarationCodec {
    /** Returns the JSON envelope for [stored], which [open] reads. */
    public fun wrap(stored: StoredDeclaration): String =
        Json.mapper.writeValueAsString(Envelope(stored.version.value, stored.operation.value, stored.text))

    override fun open(text: String): Either<CodecError, StoredDeclaration> =
        readJson(text) { Json.mapper.readValue(it, Envelope::class.java) }
            .map { StoredDeclaration(DeclarationVersion(it.version), OperationId(it.operation), it.text) }

    override fun parse(text: String): Either<CodecError, Declaration> =
        reader.read(text).mapLeft { problems -> CodecError(problems.joinToString("; ")) }

    private data class Envelope(val version: Long, val operation: String, val text: String)
}

private fun <T> readJson(text: String, read: (String) -> T): Either<CodecError, T> = try {
    read(text).right()
} catch (e: JsonProcessingException) {
    CodecError(e.originalMessage.orEmpty()).left()
}
