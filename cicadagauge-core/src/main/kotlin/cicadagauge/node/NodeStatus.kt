package cicadagauge.node

import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId

/**
 * The state that one VM reports to operators.
 *
 * @property vm The reporting VM.
 * @property ready Whether the VM can serve requests.
 * @property declaration The version of the declaration in force on the VM.
 * @property duties The pools for which the VM holds the duty of the allocator.
 * @property pools The owners of the keyed pools, as the VM knows them.
 * @property pendingRequests The number of requests accepted and not yet answered.
 * @property storeReachable Whether the store has answered the VM recently.
 * @property readsStore Whether the VM reads the store's changes itself.
 * @property storeNewsAgeMillis How long ago the store last answered the VM, if it reads the changes itself, or else the
 * VM from which it has them.
 * @property vms All listed VMs.
 */
public data class NodeStatus(
    val vm: VmId,
    val ready: Boolean,
    val declaration: DeclarationVersion,
    val duties: List<PoolName>,
    val pools: List<PoolStatus>,
    val pendingRequests: Int,
    val storeReachable: Boolean,
    val readsStore: Boolean,
    val storeNewsAgeMillis: Long,
    val vms: List<VmId>,
)

/**
 * What one VM knows of the owners of a keyed pool's slots.
 *
 * @property pool The keyed pool.
 * @property term The term of the allocator that wrote the ownership record.
 * @property version The version of the ownership record.
 * @property allocator The VM that wrote the ownership record.
 * @property members The upstreams of the pool that the record names.
 */
public data class PoolStatus(
    val pool: PoolName,
    val term: Term,
    val version: RecordVersion,
    val allocator: VmId,
    val members: List<MemberStatus>,
)

/**
 * One upstream's part of a pool.
 *
 * @property upstream The upstream.
 * @property share The part of its own slots that the upstream may hold, in percent; lower while it warms up.
 * @property slots The number of slots that the upstream owns.
 */
public data class MemberStatus(val upstream: UpstreamId, val share: Int, val slots: Int)
