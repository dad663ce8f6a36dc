package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.membership.VmDirectory
import cicadagauge.node.OwnershipSettings
import cicadagauge.routing.OwnerDirectory
import kotlin.time.Duration

/** This VM's promises to allocators of [pool] on other VMs not to take the duty while the store is out. */
internal class MadePromises(
    private val pool: PoolName,
    private val vms: VmDirectory,
    private val owners: OwnerDirectory,
    private val settings: OwnershipSettings,
) {
    private var raisedTerm = Term.NONE
    private var stoppedVm: VmId? = null
    private var stoppedBelow = Term.NONE

    /** The end of the latest promise; this VM does not begin to take the duty before. */
    var until: Moment = Moment.PAST
        private set

    /**
     * Whether a promise may be made to the holder of [term]: no higher term is known, and the platform has listed this
     * VM for at least twice the promise time. Before that, a successor might not know yet that it has to ask this VM.
     */
    fun mayPromise(term: Term, now: Moment): Boolean {
        val isListedLongEnough = vms.selfListedSince + settings.outagePromise * 2 <= now
        return isListedLongEnough && term >= highestTerm()
    }

    /** Makes a promise that lasts [OwnershipSettings.outagePromise] from [now]. */
    fun extend(now: Moment) {
        until = maxOf(until, now + settings.outagePromise)
    }

    /**
     * Ends all promises, because the allocator that they were made to has stopped: none of a term below [term] runs on
     * [vm] any more.
     */
    fun allocatorStopped(vm: VmId, term: Term) {
        until = Moment.PAST
        stoppedVm = vm
        stoppedBelow = term
    }

    /** Whether [vm] was the last VM to say that its allocator has stopped, and that of [term] is included. */
    fun hasStopped(vm: VmId, term: Term): Boolean = vm == stoppedVm && term < stoppedBelow

    /** Makes no more promises for terms below [term]. Returns the time until the latest promise ends, or zero. */
    fun termRaised(term: Term, now: Moment): Duration {
        raisedTerm = maxOf(raisedTerm, term)
        return maxOf(Duration.ZERO, until - now)
    }

    private fun highestTerm(): Term = maxOf(raisedTerm, owners[pool]?.record?.term ?: Term.NONE)
}
