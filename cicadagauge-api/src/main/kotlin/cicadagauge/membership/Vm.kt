package cicadagauge.membership

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import kotlinx.serialization.Serializable

/**
 * An entry VM as listed by the platform.
 *
 * @property address address of its control port, for messages from other VMs.
 * @property callers address to which other VMs relay requests: the address for callers, unless the VM has a separate
 * one for relays.
 * @property leaving whether the platform is about to remove it.
 * @property capacity processor capacity in cores. VMs take on work for others in proportion to what their own callers
 * leave of it.
 */
@Serializable
public data class Vm(
    val id: VmId,
    val address: Address,
    val callers: Address,
    val zone: AvailabilityZone,
    val leaving: Boolean = false,
    val capacity: Double = DEFAULT_CAPACITY,
) {
    public companion object {
        /** The capacity of a VM that states none, in cores. */
        public const val DEFAULT_CAPACITY: Double = 1.0
    }
}
