package cicadagauge.node

import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId

/** What one VM reports of itself. */
public data class NodeStatus(
    val vm: VmId,
    val ready: Boolean,
    val declaration: DeclarationVersion,
    val duties: List<PoolName>,
    val pools: List<PoolStatus>,
    val pendingRequests: Int,
    val storeReachable: Boolean,
    val vms: List<VmId>,
)

/** What one VM knows of a keyed pool's owners. */
public data class PoolStatus(
    val pool: PoolName,
    val term: Term,
    val version: RecordVersion,
    val allocator: VmId,
    val members: List<MemberStatus>,
)

/** One upstream's part of a pool. */
public data class MemberStatus(val upstream: UpstreamId, val share: Int, val slots: Int)
