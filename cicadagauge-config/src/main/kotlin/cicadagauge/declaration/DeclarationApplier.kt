/*
 * Puts declarations into the platform store. A version is accepted by compare-and-swap against the version that the
 * operator started from, so of two racing operators one gets a conflict. Where the store's answer is lost, reading
 * back shows by the operation's id whether the write took effect.
 */
package cicadagauge.declaration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import cicadagauge.store.StoredDeclaration

/** Makes one call on the platform store and waits for the reply. */
public fun interface StorePort {
    public fun call(call: StoreCall): StoreReply
}

/** The accepted declaration, as it is in the store. */
public data class Accepted(val stored: StoredDeclaration, val declaration: Declaration, val revision: StoreRevision)

/** Why an operator's command was not carried out. */
public sealed interface ApplyError {
    /** The declaration is not in order; nothing was written. */
    public data class Invalid(val problems: NonEmptyList<Problem>) : ApplyError

    /** Another version was accepted meanwhile; nothing was written. */
    public data class Conflict(val expected: DeclarationVersion, val found: DeclarationVersion) : ApplyError

    /** The store holds no declaration yet. */
    public data object Missing : ApplyError

    /** What the store holds can't be read. */
    public data class Unreadable(val problem: String) : ApplyError

    /** The store did not answer; [mayBeWritten] says whether the write may have taken effect all the same. */
    public data class Unavailable(val mayBeWritten: Boolean) : ApplyError
}

/** Reads and writes the accepted declaration through [store]. */
public class DeclarationApplier(
    private val store: StorePort,
    private val reader: DeclarationReader = YamlDeclarationReader(),
) {
    private val codec = JsonDeclarationCodec(reader)

    /** The accepted declaration. */
    public fun current(): Either<ApplyError, Accepted> {
        val reply = store.call(StoreCall.Get(StoreKeys.DECLARATION))
        if (reply !is StoreReply.Found) return ApplyError.Unavailable(mayBeWritten = false).left()
        return read(reply.entry)
    }

    /**
     * Accepts [text] as the version after [base]; a null base takes whatever is accepted now. The answer is the new
     * version. Applying an operation again that has taken effect changes nothing and gives the same answer.
     */
    public fun apply(
        text: String,
        base: DeclarationVersion?,
        operation: OperationId,
    ): Either<ApplyError, DeclarationVersion> {
        val problems = reader.read(text).leftOrNull()
        if (problems != null) return ApplyError.Invalid(problems).left()
        val reply = store.call(StoreCall.Get(StoreKeys.DECLARATION))
        if (reply !is StoreReply.Found) return ApplyError.Unavailable(mayBeWritten = false).left()
        val entry = reply.entry
        val stored = entry.value?.let { value ->
            codec.open(value).fold({ return ApplyError.Unreadable(it.problem).left() }) { it }
        }
        if (stored?.operation == operation) return stored.version.right()
        val version = stored?.version ?: DeclarationVersion.NONE
        if (base != null && base != version) return ApplyError.Conflict(base, version).left()
        return write(StoredDeclaration(DeclarationVersion(version.value + 1), operation, text), entry.revision)
    }

    /** Changes the accepted declaration by [edit] and accepts the result. */
    public fun edit(
        operation: OperationId,
        edit: (Declaration) -> Declaration,
    ): Either<ApplyError, DeclarationVersion> = current().fold({ it.left() }) { accepted ->
        val text = DeclarationWriter.write(edit(accepted.declaration))
        apply(text, accepted.stored.version, operation)
    }

    private fun read(entry: StoreEntry): Either<ApplyError, Accepted> {
        val value = entry.value ?: return ApplyError.Missing.left()
        return codec.open(value).fold({ ApplyError.Unreadable(it.problem).left() }) { stored ->
            codec.parse(stored.text)
                .mapLeft { ApplyError.Unreadable(it.problem) }
                .map { Accepted(stored, it, entry.revision) }
        }
    }

    private fun write(stored: StoredDeclaration, expect: StoreRevision): Either<ApplyError, DeclarationVersion> {
        val base = DeclarationVersion(stored.version.value - 1)
        repeat(TRIES) {
            when (val reply = store.call(StoreCall.Put(StoreKeys.DECLARATION, codec.seal(stored), expect))) {
                is StoreReply.Written -> return stored.version.right()
                is StoreReply.Conflict -> return conflict(reply.current, stored, base)
                else -> Unit
            }
        }
        return readBack(stored, base)
    }

    private fun conflict(
        found: StoreEntry,
        stored: StoredDeclaration,
        base: DeclarationVersion,
    ): Either<ApplyError, DeclarationVersion> {
        val other = found.value?.let { codec.open(it).getOrNull() }
        if (other?.operation == stored.operation) return other.version.right()
        return ApplyError.Conflict(base, other?.version ?: DeclarationVersion.NONE).left()
    }

    /** The answers to the write were lost: what the store holds now shows whether it took effect. */
    private fun readBack(stored: StoredDeclaration, base: DeclarationVersion): Either<ApplyError, DeclarationVersion> {
        repeat(TRIES) {
            val reply = store.call(StoreCall.Get(StoreKeys.DECLARATION))
            if (reply is StoreReply.Found) {
                val found = reply.entry.value?.let { codec.open(it).getOrNull() }?.version ?: DeclarationVersion.NONE
                return if (found >
                    base
                ) {
                    conflict(reply.entry, stored, base)
                } else {
                    ApplyError.Unavailable(mayBeWritten = true).left()
                }
            }
        }
        return ApplyError.Unavailable(mayBeWritten = true).left()
    }

    private companion object {
        const val TRIES = 3
    }
}
