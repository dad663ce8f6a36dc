package cicadagauge.configuration

import cicadagauge.declaration.Declaration
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange
import cicadagauge.peer.PeerMessage
import cicadagauge.store.CodecError
import cicadagauge.store.DeclarationCodec

/**
 * Holds the declaration in force on this VM. Only a higher version replaces it, so an accepted declaration never
 * reverts; where a text can't be parsed, the previous declaration stays in force. [onInForce] is called with each
 * declaration that comes into force.
 */
internal class DeclarationHolder(
    private val codec: DeclarationCodec,
    private val effects: Effects,
    private val onInForce: (Declaration, Moment) -> Unit,
) {
    private var currentEnvelope = ""
    private var latestUnreadable = DeclarationVersion.NONE
    private var unreadableEnvelope = ""

    /** The version in force. */
    var version: DeclarationVersion = DeclarationVersion.NONE
        private set

    /** The declaration in force, or null before the first. */
    var current: Declaration? = null
        private set

    /** Puts the declaration in [envelope], the text held by the store, into force if it is newer; true if it was. */
    fun acceptIfNewer(envelope: String, now: Moment): Boolean =
        codec.open(envelope).fold({ rejectEnvelope(envelope, it) }) { stored ->
            stored.version > version && adopt(stored.version, stored.text, envelope, now)
        }

    /** The message that passes the declaration in force to other VMs, or null before the first. */
    fun updateMessage(): PeerMessage.DeclarationUpdate? =
        if (current == null) null else PeerMessage.DeclarationUpdate(version, currentEnvelope)

    private fun rejectEnvelope(envelope: String, error: CodecError): Boolean {
        if (envelope != unreadableEnvelope) {
            unreadableEnvelope = envelope
            effects.add(Effect.StateChanged(StateChange.DeclarationUnreadable(DeclarationVersion.NONE, error.problem)))
        }
        return false
    }

    private fun adopt(newVersion: DeclarationVersion, source: String, envelope: String, now: Moment): Boolean =
        codec.parse(source).fold({ error ->
            if (newVersion > latestUnreadable) {
                latestUnreadable = newVersion
                effects.add(Effect.StateChanged(StateChange.DeclarationUnreadable(newVersion, error.problem)))
            }
            false
        }) { declaration ->
            version = newVersion
            currentEnvelope = envelope
            current = declaration
            effects.add(Effect.StateChanged(StateChange.DeclarationInForce(newVersion)))
            onInForce(declaration, now)
            true
        }
}
