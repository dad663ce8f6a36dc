package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEra

/**
 * What this VM can prove about the allocators of one pool in earlier eras of the store, whose records, terms and leases
 * the store may have lost.
 */
internal class EarlierEras(
    private val store: StoreClient,
    private val vms: VmDirectory,
    private val settings: OwnershipSettings,
) {
    /** Whether the store's era has changed since this process started. */
    var hasChanged: Boolean = false
        private set

    /** Whether this VM was certainly the last allocator of the era before the present one. */
    var isLastAllocator: Boolean = false
        private set

    /** Whether this VM has known every VM that may have been an allocator, or backed one, in the era before. */
    var isVmListComplete: Boolean = false
        private set

    /** Notes a new era after [previous]; [isCertain] tells whether this VM was the last allocator in that. */
    fun eraChanged(previous: StoreEra, isCertain: Boolean, now: Moment) {
        val isNext = store.era.value == previous.value + 1
        hasChanged = true
        isLastAllocator = isNext && isCertain
        isVmListComplete = isNext && vms.updatedAt + settings.outagePromise > now
    }

    /** The newest of the [stored] record and, where the store may have lost newer ones, of those in [known]. */
    fun newest(stored: OwnershipRecord?, known: List<OwnershipRecord?>): OwnershipRecord? {
        if (stored != null && stored.term.era >= store.era) return stored
        return (known + stored).filterNotNull().reduceOrNull { one, other -> if (other.replaces(one)) other else one }
    }

    /** Whether upstreams may hold what [base], the newest record that is known, does not tell. */
    fun isUnsettled(base: OwnershipRecord?): Boolean {
        val mayBeLost = if (base == null) hasChanged else base.term.era < store.era
        return base?.isUnsettled == true || (mayBeLost && !isLastAllocator)
    }
}
