/*
 * Writes declarations to the platform store. A new version is written by compare-and-swap against the version that the
 * operator started from, so one of two concurrent operators gets a conflict. If the store's reply is lost, the
 * declaration is read back, and the operation ID stored with it shows whether the write took effect.
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

/** Synchronous access to the platform store. */
public fun interface StorePort {
    /** Sends [call] and blocks until the reply; [StoreReply.Unavailable] if there is none. */
    public fun call(call: StoreCall): StoreReply
}

/** The accepted declaration as [stored] and parsed, with the [revision] of its entry in the store. */
public data class AcceptedDeclaration(
    val stored: StoredDeclaration,
    val declaration: Declaration,
    val revision: StoreRevision,
)

/** Why an operator's command failed. */
public sealed interface ApplyError {
    /** The declaration is invalid; nothing was written. */
    public data class Invalid(val problems: NonEmptyList<Problem>) : ApplyError

    /** Version [found] is in the store instead of [expected]; nothing was written. */
    public data class Conflict(val expected: DeclarationVersion, val found: DeclarationVersion) : ApplyError

    /** The store holds no declaration yet. */
    public data object Missing : ApplyError

    /** The declaration in the store can't be decoded or parsed. */
    public data class Unreadable(val problem: String) : ApplyError

    /** The store did not reply; [mayBeWritten] if the write may nevertheless have taken effect. */
    public data class Unavailable(val mayBeWritten: Boolean) : ApplyError
}

/** Reads and writes the accepted declaration through [store]. */
public class DeclarationApplier(
    private val store: StorePort,
    private val reader: DeclarationReader = YamlDeclarationReader(),
) {
    private val codec = JsonDeclarationCodec(reader)

    /** Returns the accepted declaration. Writes nothing. */
    public fun current(): Either<ApplyError, AcceptedDeclaration> {
        val reply = store.call(StoreCall.Get(StoreKeys.DECLARATION))
        if (reply !is StoreReply.Found) return ApplyError.Unavailable(mayBeWritten = false).left()
        return read(reply.entry)
    }

    /**
     * Writes [text] as the version after [base] and returns the new version. A null base stands for the version that
     * is in the store at the time of the call. Repeating the [operation] that wrote the version in the store changes
     * nothing and returns that version.
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

    /** Applies [edit] to the accepted declaration and writes the result as the next version, as [apply] does. */
    public fun edit(
        operation: OperationId,
        edit: (Declaration) -> Declaration,
    ): Either<ApplyError, DeclarationVersion> = current().fold({ it.left() }) { accepted ->
        val text = DeclarationWriter.write(edit(accepted.declaration))
        apply(text, accepted.stored.version, operation)
    }

    private fun read(entry: StoreEntry): Either<ApplyError, AcceptedDeclaration> {
        val value = entry.value ?: return ApplyError.Missing.left()
        return codec.open(value).fold({ ApplyError.Unreadable(it.problem).left() }) { stored ->
            codec.parse(stored.text)
                .mapLeft { ApplyError.Unreadable(it.problem) }
                .map { AcceptedDeclaration(stored, it, entry.revision) }
        }
    }

    private fun write(stored: StoredDeclaration, expect: StoreRevision): Either<ApplyError, DeclarationVersion> {
        val base = DeclarationVersion(stored.version.value - 1)
        repeat(MAX_STORE_ATTEMPTS) {
            when (val reply = store.call(StoreCall.Put(StoreKeys.DECLARATION, codec.wrap(stored), expect))) {
                is StoreReply.Written -> return stored.version.right()
                is StoreReply.Conflict -> return resolveConflict(reply.current, stored, base)
                else -> Unit
            }
        }
        return readBack(stored, base)
    }

    private fun resolveConflict(
        found: StoreEntry,
        stored: StoredDeclaration,
        base: DeclarationVersion,
    ): Either<ApplyError, DeclarationVersion> {
        val other = found.value?.let { codec.open(it).getOrNull() }
        if (other?.operation == stored.operation) return other.version.right()
        return ApplyError.Conflict(base, other?.version ?: DeclarationVersion.NONE).left()
    }

    /** Called when no reply to the write arrived: the version now in the store shows whether it took effect. */
    private fun readBack(stored: StoredDeclaration, base: DeclarationVersion): Either<ApplyError, DeclarationVersion> {
        repeat(MAX_STORE_ATTEMPTS) {
            val reply = store.call(StoreCall.Get(StoreKeys.DECLARATION))
            if (reply is StoreReply.Found) {
                val found = reply.entry.value?.let { codec.open(it).getOrNull() }?.version ?: DeclarationVersion.NONE
                return if (found >
                    base
                ) {
                    resolveConflict(reply.entry, stored, base)
                } else {
                    ApplyError.Unavailable(mayBeWritten = true).left()
                }
            }
        }
        return ApplyError.Unavailable(mayBeWritten = true).left()
    }

    private companion object {
        const val MAX_STORE_ATTEMPTS = 3
    }
}
