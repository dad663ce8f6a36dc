package cicadagauge.node

import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import kotlin.time.Duration

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

    /** An upstream has seen a higher fence than [fence], which this VM used as allocator of [pool]. */
    public data class FenceRefused(val pool: PoolName, val upstream: UpstreamId, val fence: RecordVersion) : StateChange

    /** Operators have taken [zone] out, or back. */
    public data class ZoneOut(val zone: AvailabilityZone, val isOut: Boolean) : StateChange

    /** What [upstream] has registered can't be read, so it is not used. */
    public data class RegistrationUnreadable(val upstream: UpstreamId, val problem: String) : StateChange

    /** An upstream stopped or started answering grant orders. */
    public data class UpstreamReachable(val upstream: UpstreamId, val reachable: Boolean) : StateChange

    /** The time of day has advanced by [unseen] more, or less, than the steady clock. */
    public data class Suspended(val unseen: Duration) : StateChange

    /** The store stopped or started answering this VM. */
    public data class StoreReachable(val reachable: Boolean) : StateChange
}
