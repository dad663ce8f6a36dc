/*
 * The JSON form of messages between VMs and of the records and registrations that VMs keep in the store. Serializers
 * are generated at compile time, as reflection cost a process that had just started 1.7 s of CPU time before its first
 * message.
 */
package cicadagauge.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cicadagauge.peer.PeerMessage
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json as KotlinJson

/** Writes and reads messages between VMs, ownership records and registrations of VMs. Ignores unknown fields. */
public object MessageJson {
    private val json = KotlinJson { ignoreUnknownKeys = true }
    private val batchSerializer = ListSerializer(PeerMessage.serializer())

    /** Returns [messages] as a JSON array in UTF-8. */
    public fun write(messages: List<PeerMessage>): ByteArray =
        json.encodeToString(batchSerializer, messages).encodeToByteArray()

    /** Parses a JSON array of messages in UTF-8; returns an error if any of them is malformed or of unknown type. */
    public fun read(bytes: ByteArray): Either<CodecError, List<PeerMessage>> =
        read(bytes.decodeToString(), batchSerializer)

    internal fun <T> write(value: T, serializer: KSerializer<T>): String = json.encodeToString(serializer, value)

    internal fun <T> read(text: String, serializer: KSerializer<T>): Either<CodecError, T> = try {
        json.decodeFromString(serializer, text).right()
    } catch (e: SerializationException) {
        CodecError(e.message.orEmpty().lineSequence().first()).left()
    } catch (e: IllegalArgumentException) {
        CodecError(e.message.orEmpty()).left()
    }
}
