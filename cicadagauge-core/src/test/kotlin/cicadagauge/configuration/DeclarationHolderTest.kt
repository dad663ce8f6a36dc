package cicadagauge.configuration

import arrow.core.Either
import arrow.core.left
import cicadagauge.declaration.Declaration
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange
import cicadagauge.store.CodecError
import cicadagauge.store.DeclarationCodec
import cicadagauge.store.StoredDeclaration
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** A codec that can read nothing. */
private object FailingCodec : DeclarationCodec {
    override fun open(text: String): Either<CodecError, StoredDeclaration> = CodecError("no version").left()

    override fun parse(text: String): Either<CodecError, Declaration> = CodecError("not used").left()
}

class DeclarationHolderTest :
    FunSpec({
        test("a declaration whose version can not be read is reported once, and none is in force") {
            val effects = Effects()
            val holder = DeclarationHolder(FailingCodec, effects) { _, _ -> error("nothing comes into force") }
            repeat(3) { holder.acceptIfNewer("broken", Moment.ZERO) shouldBe false }
            val unreadable = StateChange.DeclarationUnreadable(DeclarationVersion.NONE, "no version")
            effects.take() shouldBe listOf(Effect.StateChanged(unreadable))
            holder.acceptIfNewer("broken in another way", Moment.ZERO) shouldBe false
            effects.take() shouldBe listOf(Effect.StateChanged(unreadable))
        }
    })
