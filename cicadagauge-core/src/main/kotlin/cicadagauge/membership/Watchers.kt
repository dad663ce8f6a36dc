package cicadagauge.membership

import cicadagauge.identity.VmId

/**
 * Selects the VMs that watch the platform store or may hold duties: in each availability zone one for every
 * [vmsPerWatcher], at most [perZone], so that the load on the store doesn't grow with the number of VMs. In a fleet of
 * up to [everyVmUpTo] VMs it selects all.
 */
internal class Watchers(
    private val vms: VmDirectory,
    private val perZone: Int,
    private val vmsPerWatcher: Int = 1,
    private val everyVmUpTo: Int = 0,
) {
    /** Whether the fleet is so small that every VM is selected. */
    fun includesEveryVm(): Boolean = vms.all.size <= everyVmUpTo

    /** The VMs that are to watch the store at present. */
    fun eligible(): Set<VmId> {
        val ranked = vms.ranked(DUTY)
        if (includesEveryVm()) return ranked.map { it.id }.toSet()
        return ranked.groupBy { it.zone }.values.flatMap { it.take(countIn(it.size)) }.map { it.id }.toSet()
    }

    /** Whether this VM is one of the [eligible] ones. */
    fun includesSelf(): Boolean = vms.self in eligible()

    /** Whether this VM ranks first among the [eligible] ones. */
    fun isSelfFirst(): Boolean = vms.ranked(DUTY).firstOrNull()?.id == vms.self

    /** The first [count] VMs in the order of the [eligible] ones. */
    fun firstRanked(count: Int): List<VmId> = vms.ranked(DUTY).take(count).map { it.id }

    /** The VMs of this VM's zone, itself included, in the order of the [eligible] ones. */
    fun rankedInZone(): List<Vm> = vms.ranked(DUTY).filter { it.zone == vms.zone }

    /** The VM that ranks first in each of the other zones. */
    fun firstOfOtherZones(): List<Vm> = vms.ranked(DUTY).filter { it.zone != vms.zone }.distinctBy { it.zone }

    private fun countIn(zoneSize: Int): Int = minOf(perZone, (zoneSize - 1) / vmsPerWatcher + 1)

    private companion object {
        const val DUTY = "watch"
    }
}
