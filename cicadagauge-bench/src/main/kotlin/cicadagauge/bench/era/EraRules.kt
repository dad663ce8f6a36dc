package cicadagauge.bench.era

import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.ownership.RangeOrder

/**
 * Checks what must hold whatever the store forgets: a slot has one owner at a time, no two owners take it with the same
 * fence or a later one with a lower fence, no term begins twice, and no VM goes back to an earlier declaration.
 */
class EraRules(private val upstreams: List<RangeUpstream>) {
    private val highestFence = HashMap<Int, HashMap<UpstreamId, Long>>()
    private val terms = HashMap<Term, VmId>()
    private val versions = HashMap<VmId, DeclarationVersion>()
    private val found = ArrayList<String>()

    /** The violations found, each with its time in milliseconds. */
    val violations: List<String> get() = found

    /** [upstream] has accepted [order]; with [isLate], later than it arrived. */
    fun granted(upstream: RangeUpstream, order: RangeOrder, isLate: Boolean, now: Long) {
        for (slot in order.slots.first..order.slots.last) {
            val owners = upstreams.filter { it.holds(slot, now) }
            if (owners.size > 1) report(now, "slot $slot is held by ${owners.map { it.id }}, fence ${order.fence}")
            if (!isLate) checkFence(slot, upstream.id, order.fence.value, now)
        }
    }

    private fun checkFence(slot: Int, upstream: UpstreamId, fence: Long, now: Long) {
        val fences = highestFence.getOrPut(slot, ::HashMap)
        val isNew = fence > (fences[upstream] ?: 0)
        val others = fences.filterKeys { it != upstream }.values.maxOrNull() ?: 0
        if (isNew && fence <= others) report(now, "slot $slot went to $upstream with fence $fence, after $others")
        fences.merge(upstream, fence, ::maxOf)
    }

    /** [vm] has become the allocator under [term]. */
    fun termBegun(vm: VmId, term: Term, now: Long) {
        terms.put(term, vm)?.let { report(now, "term $term was begun by $it and by $vm") }
    }

    /** [version] has come into force on [vm]. */
    fun declarationInForce(vm: VmId, version: DeclarationVersion, now: Long) {
        val before = versions.put(vm, version) ?: return
        if (version < before) report(now, "$vm went back from declaration $before to $version")
    }

    private fun report(now: Long, violation: String) {
        if (found.size < MAX_REPORTED) found += "${now / NANOS_PER_MILLI} ms: $violation"
    }

    private companion object {
        const val MAX_REPORTED = 5
        const val NANOS_PER_MILLI = 1_000_000
    }
}
