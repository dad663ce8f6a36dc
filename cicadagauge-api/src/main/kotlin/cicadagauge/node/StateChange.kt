package cicadagauge.node

import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId

/** A change of state worth one log line. */
public sealed interface StateChange {
    /** A declaration is in force on this VM. */
    public data class DeclarationInForce(val version: DeclarationVersion) : StateChange

    /** A declaration was received that can't be read; the one before it stays in force. */
    public data class DeclarationUnreadable(val version: DeclarationVersion, val problem: String) : StateChange

    /** This VM became the allocator of [pool]. */
    public data class DutyTaken(val pool: PoolName, val term: Term) : StateChange

    /** This VM is no longer the allocator of [pool]. */
    public data class DutyLost(val pool: PoolName, val term: Term) : StateChange

    /** The owners of [pool]'s slots changed; [moved] slots have another owner than before. */
    public data class OwnersChanged(val pool: PoolName, val version: RecordVersion, val moved: Int) : StateChange

    /** An upstream stopped or started answering grant orders. */
    public data class UpstreamReachable(val upstream: UpstreamId, val reachable: Boolean) : StateChange

    /** The store stopped or started answering this VM. */
    public data class StoreReachable(val reachable: Boolean) : StateChange
}
