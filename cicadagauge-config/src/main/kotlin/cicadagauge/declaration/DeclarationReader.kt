package cicadagauge.declaration

import arrow.core.Either
import arrow.core.NonEmptyList

/** Parses the text form of a declaration, which operators keep under version control. */
public interface DeclarationReader {
    /** Parses and validates [text]; returns all problems if it is invalid. */
    public fun read(text: String): Either<NonEmptyList<Problem>, Declaration>
}
