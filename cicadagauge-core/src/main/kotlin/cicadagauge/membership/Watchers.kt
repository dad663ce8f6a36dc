package cicadagauge.membership

import cicadagauge.identity.VmId

/**
 * Selects the VMs that watch the platform store and may hold duties: [perZone] in each availability zone, so that the
 * load on the store doesn't grow with the number of VMs.
 */
internal class Watchers(private val vms: VmDirectory, private val perZone: Int) {
    /** The VMs that are to watch the store at present. */
    fun eligible(): Set<VmId> {
        val ranked = vms.ranked(DUTY)
        return ranked.groupBy { it.zone }.values.flatMap { it.take(perZone) }.map { it.id }.toSet()
    }

    /** Whether this VM is one of the [eligible] ones. */
    fun includesSelf(): Boolean = vms.self in eligible()

    /** Whether this VM ranks first among the [eligible] ones. */
    fun isSelfFirst(): Boolean = vms.ranked(DUTY).firstOrNull()?.id == vms.self

    /** The first [count] VMs in the order of the [eligible] ones. */
    fun firstRanked(count: Int): List<VmId> = vms.ranked(DUTY).take(count).map { it.id }

    private companion object {
        const val DUTY = "watch"
    }
}
