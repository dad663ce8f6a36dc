package cicadagauge.declaration

import arrow.core.Either
import arrow.core.NonEmptyList

/** Reads a declaration from the text that operators keep under version control. */
public interface DeclarationReader {
    /** The declaration that [text] spells, or everything that is wrong with it. */
    public fun read(text: String): Either<NonEmptyList<Problem>, Declaration>
}
