package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import kotlin.time.Duration

/** Determines an upper bound of the time at which earlier allocators of a pool sent their last order. */
internal interface StopDetector {
    /** Asks for the confirmations that are still missing. */
    fun requestConfirmations(now: Moment)

    /** Notes that the allocator on [vm] sent its last order at [at] at the latest. */
    fun predecessorStopped(vm: VmId, at: Moment, now: Moment)

    /** Notes that [vm]'s promises to holders of lower terms end after [lasting], and that it makes no more of them. */
    fun termNoted(vm: VmId, lasting: Duration, now: Moment)
}
