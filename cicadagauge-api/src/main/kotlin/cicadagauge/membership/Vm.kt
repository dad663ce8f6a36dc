package cicadagauge.membership

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import kotlinx.serialization.Serializable

/**
 * One entry VM as the platform lists it: [address] is its control port, [callers] its port for requests. [leaving]
 * marks one that the platform is about to take away.
 */
@Serializable
public data class Vm(
    val id: VmId,
    val address: Address,
    val callers: Address,
    val zone: AvailabilityZone,
    val leaving: Boolean = false,
)
