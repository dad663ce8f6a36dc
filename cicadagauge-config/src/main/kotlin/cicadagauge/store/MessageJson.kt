/*
 * The JSON of what VMs say to each other and keep in the store. The compiler writes the code for each type, since a
 * process that has just started has no time for reflection: it cost 1.7 s of processor time before the first message.
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

/** Writes and reads messages, records and registrations of VMs. */
public object MessageJson {
    private val json = KotlinJson { ignoreUnknownKeys = true }
    private val batches = ListSerializer(PeerMessage.serializer())

    /** The text of [messages], in UTF-8. */
    public fun write(messages: List<PeerMessage>): ByteArray =
        json.encodeToString(batches, messages).encodeToByteArray()

    /** The messages that [bytes] hold. */
    public fun read(bytes: ByteArray): Either<CodecError, List<PeerMessage>> = read(bytes.decodeToString(), batches)

    internal fun <T> write(value: T, type: KSerializer<T>): String = json.encodeToString(type, value)

    internal fun <T> read(text: String, type: KSerializer<T>): Either<CodecError, T> = try {
        json.decodeFromString(type, text).right()
    } catch (e: SerializationException) {
        CodecError(e.message.orEmpty().lineSequence().first()).left()
    } catch (e: IllegalArgumentException) {
        CodecError(e.message.orEmpty()).left()
    }
}
