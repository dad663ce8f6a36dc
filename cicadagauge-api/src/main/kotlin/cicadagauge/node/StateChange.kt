package cicadagauge.node

import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.peer.CrashRecord
import cicadagauge.store.StoreEra
import kotlin.time.Duration

/** A change of a node's state; each is logged as one line. */
public sealed interface StateChange {
    /** A declaration took effect on this VM. */
    public data class DeclarationInForce(val version: DeclarationVersion) : StateChange

    /**
     * A declaration was received that can't be parsed; the previous one remains in effect. [version] is
     * [DeclarationVersion.NONE] where not even the version could be read.
     */
    public data class DeclarationUnreadable(val version: DeclarationVersion, val problem: String) : StateChange

    /** This VM became the allocator of [pool]. */
    public data class DutyTaken(val pool: PoolName, val term: Term) : StateChange

    /** This VM is no longer the allocator of [pool]. */
    public data class DutyLost(val pool: PoolName, val term: Term) : StateChange

    /** The store has deleted the key of the duty of [pool], which this VM held without being the allocator. */
    public data class DutyKeyReleased(val pool: PoolName) : StateChange

    /** The owners of the slots of [pool] changed; [moved] is the number of slots that have another owner. */
    public data class OwnersChanged(val pool: PoolName, val version: RecordVersion, val moved: Int) : StateChange

    /**
     * [version] of the owners of the slots of [pool] moves some for the sake of load, which is expected to save callers
     * [expectedSaving] of waiting, all requests together, beyond what the moves cost them.
     */
    public data class LoadBalanced(val pool: PoolName, val version: RecordVersion, val expectedSaving: Duration) :
        StateChange

    /**
     * A request for [pool] went to [zone] first, or waits there, because home VMs had told the [expectedWaits] in other
     * zones; the oldest of this news had [newsAge].
     */
    public data class ZonesSkipped(
        val pool: PoolName,
        val zone: AvailabilityZone?,
        val expectedWaits: Map<AvailabilityZone, Duration>,
        val newsAge: Duration,
    ) : StateChange

    /** [upstream] has seen a higher fence than [fence], which this VM sent as the allocator of [pool]. */
    public data class FenceRefused(val pool: PoolName, val upstream: UpstreamId, val fence: RecordVersion) : StateChange

    /**
     * This VM, as the allocator of [pool], takes [upstream] for lost. Its ranges move at once if [proof] says why it
     * can't hold them; otherwise they wait for such a proof, for [longestWait] if no order is in flight.
     */
    public data class OwnerSuspected(
        val pool: PoolName,
        val upstream: UpstreamId,
        val proof: String?,
        val longestWait: Duration,
    ) : StateChange

    /** Operators have taken [zone] out of service, or back into service. */
    public data class ZoneOut(val zone: AvailabilityZone, val isOut: Boolean) : StateChange

    /** The registration of [upstream] can't be parsed, so the upstream is not used. */
    public data class RegistrationUnreadable(val upstream: UpstreamId, val problem: String) : StateChange

    /** [upstream] started or stopped answering grant orders. */
    public data class UpstreamReachable(val upstream: UpstreamId, val reachable: Boolean) : StateChange

    /** The process of [upstream] ended while it was running [requests] of this VM, among others. */
    public data class UpstreamCrashed(val upstream: UpstreamId, val requests: Set<RequestFingerprint>) : StateChange

    /**
     * Requests with [fingerprint] must not run any more, since [record] says that they crash upstreams; or they may run
     * again, since an upstream has answered one. This VM was told by [source], or found out itself if that is null.
     */
    public data class RequestQuarantined(
        val fingerprint: RequestFingerprint,
        val isQuarantined: Boolean,
        val record: CrashRecord,
        val source: VmId?,
    ) : StateChange

    /** The wall clock has advanced by [unseen] more than the monotonic clock; negative if it was set back. */
    public data class Suspended(val unseen: Duration) : StateChange

    /** This VM has lost all upstreams, or reaches some again. */
    public data class UpstreamsReached(val reached: Boolean) : StateChange

    /** The platform store started or stopped answering this VM. */
    public data class StoreReachable(val reachable: Boolean) : StateChange

    /**
     * This VM began or ceased to read the store's changes itself, when the news that it had from the VMs that do was
     * [newsAge] old.
     */
    public data class StoreReading(val isReading: Boolean, val newsAge: Duration) : StateChange

    /**
     * The platform store has come back from an older copy: its era was [previous] and is [era]. This VM writes again
     * what [writtenAgain] names.
     */
    public data class StoreEraChanged(val previous: StoreEra, val era: StoreEra, val writtenAgain: List<String>) :
        StateChange

    /** A watch of the entries under [prefix] ended with [result], [waited] after it was sent. */
    public data class WatchEnded(val prefix: String, val result: WatchResult, val waited: Duration) : StateChange
}
