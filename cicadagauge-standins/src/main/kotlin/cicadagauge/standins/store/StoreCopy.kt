package cicadagauge.standins.store

import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreLeaseId
import kotlin.time.Duration

/** All that a [StoreModel] had at some moment. */
public class StoreCopy internal constructor(
    internal val entries: Map<StoreKey, StoreEntry>,
    internal val leaseByKey: Map<StoreKey, StoreLeaseId>,
    internal val leases: Map<StoreLeaseId, CopiedLease>,
    internal val revision: Long,
    internal val compactedUpTo: Long,
    internal val lastLeaseId: Long,
) {
    internal class CopiedLease(val call: StoreCall.CreateLease, val timeLeft: Duration)
}
