/*
 * Terms and fences rise over the eras of the store, also past those that the store has lost: each era has numbers of
 * its own, above all numbers of the eras before it.
 */
package cicadagauge.ownership

import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.store.StoreEra

private const val NUMBER_BITS = 32

private val StoreEra.lastNumberBefore: Long get() = value shl NUMBER_BITS

/** The era in which the term began. */
internal val Term.era: StoreEra get() = StoreEra(value ushr NUMBER_BITS)

/** Higher than all terms of the eras before this one, and not higher than any of it. */
internal val StoreEra.firstTerm: Term get() = Term(lastNumberBefore + 1)

/** This term, or the first one of [era] if that is higher. */
internal fun Term.within(era: StoreEra): Term = maxOf(this, era.firstTerm)

/** This version, or the first one of [era] if that is higher. */
internal fun RecordVersion.within(era: StoreEra): RecordVersion = maxOf(this, RecordVersion(era.lastNumberBefore + 1))
