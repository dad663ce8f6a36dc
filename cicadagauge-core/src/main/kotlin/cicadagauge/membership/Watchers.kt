package cicadagauge.membership

import cicadagauge.identity.VmId

/**
 * Which VMs watch the platform store, and may hold duties: a few of each availability zone, so that the store's
 * load doesn't grow with the fleet.
 */
internal class Watchers(private val vms: VmDirectory, private val perZone: Int) {
    /** The watching VMs. */
    fun eligible(): Set<VmId> {
        val ranked = vms.ranked(DUTY)
        return ranked.groupBy { it.zone }.values.flatMap { it.take(perZone) }.map { it.id }.toSet()
    }

    /** Whether this VM is one of them. */
    fun isSelf(): Boolean = vms.self in eligible()

    private companion object {
        const val DUTY = "watch"
    }
}
