/*
 * The platform store may come back from an older copy of itself. What was written since that copy is then gone, leases
 * included, and revisions are given out again. See docs/design/store-eras.md.
 */
package cicadagauge.store

import kotlinx.serialization.Serializable

/** The era of the platform store, which rises by one each time the store comes back from an older copy. */
@JvmInline
@Serializable
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The only era of a store that does not tell its era. */
        public val FIRST: StoreEra = StoreEra(0)

        /** The last era that can be told apart from the others. */
        public val LAST: StoreEra = StoreEra(Int.MAX_VALUE.toLong())
    }
}

/** A [revision] in the [era] to which it belongs. Positions of a later era come after all those of an earlier one. */
@Serializable
public data class StorePosition(val era: StoreEra, val revision: StoreRevision) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    public companion object {
        /** Not after any other position. */
        public val NONE: StorePosition = StorePosition(StoreEra.FIRST, StoreRevision.ABSENT)
    }
}
