/*
 * Messages between the entry VMs of the router. They are sent as JSON over HTTP and may be lost, delayed, duplicated
 * and reordered; every handler is idempotent.
 */
@file:UseSerializers(DurationInNanos::class)

package cicadagauge.peer

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.DurationInNanos
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.HeatBucket
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.UpstreamTime
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreKey
import cicadagauge.store.StorePosition
import cicadagauge.store.StoreRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/** A message from one VM to another. */
@Serializable
public sealed interface PeerMessage {
    /** Passes on an accepted declaration; [text] is the value in the platform store. */
    @Serializable
    @SerialName("DeclarationUpdate")
    public data class DeclarationUpdate(val version: DeclarationVersion, val text: String) : PeerMessage

    /** Passes on a pool's ownership record. */
    @Serializable
    @SerialName("RecordUpdate")
    public data class RecordUpdate(val record: OwnershipRecord) : PeerMessage

    /**
     * Lists the versions that the sender has, so that the receiver can send what is newer.
     *
     * @property quarantine digest of the sender's [CrashSuspicion]s; zero if it has none.
     * @property era latest era of the store that the sender knows.
     */
    @Serializable
    @SerialName("Digest")
    public data class Digest(
        val declaration: DeclarationVersion,
        val records: List<RecordDigest>,
        val prefixes: List<PrefixDigest> = emptyList(),
        val quarantine: Long = 0,
        val era: StoreEra = StoreEra.FIRST,
    ) : PeerMessage

    /** Announces that the store has come back from an older copy, and is in [era] now. */
    @Serializable
    @SerialName("NewEra")
    public data class NewEra(val era: StoreEra) : PeerMessage

    /** Passes on which requests may have crashed upstreams. */
    @Serializable
    @SerialName("QuarantineUpdate")
    public data class QuarantineUpdate(val suspicions: List<CrashSuspicion>) : PeerMessage

    /**
     * Passes on the store's entries under [prefix], as of revision [upTo] in [era].
     *
     * @property entries entries that have changed since the receiver's digest.
     * @property keys keys of all entries under [prefix]; those that are not listed have been deleted.
     */
    @Serializable
    @SerialName("EntriesUpdate")
    public data class EntriesUpdate(
        val prefix: String,
        val upTo: StoreRevision,
        val entries: List<StoreEntry>,
        val keys: List<StoreKey>,
        val era: StoreEra = StoreEra.FIRST,
    ) : PeerMessage {
        /** The position in the store's history up to which the update goes. */
        val position: StorePosition get() = StorePosition(era, upTo)
    }

    /**
     * Passes on the changes under [prefix] after position [after], up to [upTo] in the same era, to a receiver that
     * knows those before.
     *
     * @property entries changed entries in the order of their revisions; the value of a deleted one is null.
     */
    @Serializable
    @SerialName("EntriesChanged")
    public data class EntriesChanged(
        val prefix: String,
        val after: StorePosition,
        val upTo: StorePosition,
        val entries: List<StoreEntry>,
    ) : PeerMessage

    /**
     * Announces what the sender, which reads the store itself, has read there.
     *
     * @property prefixes the latest change that it knows under each prefix.
     * @property age how long ago the store last answered the sender.
     */
    @Serializable
    @SerialName("StoreNews")
    public data class StoreNews(
        val declaration: DeclarationVersion,
        val prefixes: List<PrefixDigest>,
        val age: Duration,
    ) : PeerMessage

    /** Asks for what the receiver knows of the store beyond what the sender does, and for its [StoreNews]. */
    @Serializable
    @SerialName("StoreNewsQuery")
    public data class StoreNewsQuery(val declaration: DeclarationVersion, val prefixes: List<PrefixDigest>) :
        PeerMessage

    /**
     * Asks the coordinator of a customer's budget for up to [demand] tokens of one request each. The coordinator is the
     * VM that collects the portions of the customer's rate that VMs waive, and lends tokens from them.
     *
     * @property sequence rises with each request of the sender; the coordinator ignores a request whose sequence is not
     * higher than that of an earlier one.
     * @property stamp the coordinator's clock reading from its last reply. If set, the sender waives its own portion of
     * the customer's rate until the coordinator's clock reads [stamp] plus [waiver]; if null, it waives nothing.
     * @property leave whether the coordinator must drop the sender's waiver, since another VM is now the coordinator.
     */
    @Serializable
    @SerialName("BudgetRequest")
    public data class BudgetRequest(
        val customer: CustomerName,
        val sequence: Long,
        val stamp: Moment?,
        val waiver: Duration,
        val demand: Int,
        val leave: Boolean = false,
    ) : PeerMessage

    /**
     * Several [BudgetRequest]s in one, of [customers] of whom the sender needs no tokens: it only renews the waivers
     * of its portions. Their sequences, in the same order, are [baseSequence] plus each of [offsets].
     */
    @Serializable
    @SerialName("WaiverRenewal")
    public data class WaiverRenewal(
        val customers: List<CustomerName>,
        val baseSequence: Long,
        val offsets: List<Long>,
        val stamp: Moment?,
        val waiver: Duration,
    ) : PeerMessage

    /**
     * The answer to a [WaiverRenewal], as several [BudgetReply]s without tokens: those of [customers] with the
     * sequences that [baseSequence] and [offsets] give, in the same order. For customers in [settling] the coordinator
     * has had portions for a short time only.
     */
    @Serializable
    @SerialName("WaiverReply")
    public data class WaiverReply(
        val customers: List<CustomerName>,
        val baseSequence: Long,
        val offsets: List<Long>,
        val stamp: Moment,
        val released: Boolean = false,
        val settling: List<CustomerName> = emptyList(),
    ) : PeerMessage

    /**
     * Lends [tokens] in answer to the [BudgetRequest] with the same [sequence].
     *
     * @property stamp the coordinator's clock reading.
     * @property released whether the coordinator has dropped every waiver of the receiver and lends nothing more.
     * @property settling whether the coordinator has had portions to lend for so short a time, or has none, that a lack
     * of tokens doesn't mean that the rate is used up.
     */
    @Serializable
    @SerialName("BudgetReply")
    public data class BudgetReply(
        val customer: CustomerName,
        val sequence: Long,
        val stamp: Moment,
        val tokens: Int,
        val released: Boolean = false,
        val settling: Boolean = false,
    ) : PeerMessage

    /**
     * Asks a home VM, the VM that schedules the requests to certain upstreams of [pool], for a permit to run one
     * request at one of them.
     *
     * @property customer customer that sent the request; `-` on an open route.
     * @property timeLeft time until the request's deadline.
     * @property targetLeft time within which an answer is in time, negative if it is late already; null if any answer
     * before the deadline is in time.
     * @property zone availability zone whose upstreams may serve a request without a [slot], or null.
     * @property maySpill whether the home VM refuses the request rather than queueing it for long, because the sender
     * can try another zone.
     */
    @Serializable
    @SerialName("Reserve")
    public data class Reserve(
        val pool: PoolName,
        val id: RequestId,
        val slot: Slot?,
        val requestClass: RequestClass,
        val customer: CustomerName,
        val timeLeft: Duration,
        val zone: AvailabilityZone?,
        val maySpill: Boolean,
        val targetLeft: Duration? = null,
    ) : PeerMessage

    /** Grants the permit for a [Reserve]: the request may be sent to [upstream] now. */
    @Serializable
    @SerialName("Reserved")
    public data class Reserved(val pool: PoolName, val id: RequestId, val upstream: UpstreamId) : PeerMessage

    /** Refuses a [Reserve]; [refusal] is the request's answer, unless the sender tries another zone. */
    @Serializable
    @SerialName("Denied")
    public data class Denied(val pool: PoolName, val id: RequestId, val refusal: Refusal) : PeerMessage

    /**
     * Returns the permit of a request, or withdraws its [Reserve].
     *
     * @property duration duration of the attempt; zero if there was none.
     * @property slowness see [cicadagauge.outcome.AttemptOutcome.Answered.slowness].
     */
    @Serializable
    @SerialName("Release")
    public data class Release(
        val pool: PoolName,
        val id: RequestId,
        val result: PermitResult,
        val duration: Duration,
        val slowness: Double? = null,
    ) : PeerMessage

    /** Lists all requests of the sender that hold permits for [pool] granted by the receiver. */
    @Serializable
    @SerialName("Holding")
    public data class Holding(val pool: PoolName, val ids: Set<RequestId>) : PeerMessage

    /** Reports the requests per bucket since the last report, and service times, to the allocator of [pool]. */
    @Serializable
    @SerialName("Heat")
    public data class Heat(val pool: PoolName, val buckets: List<HeatBucket>, val times: List<UpstreamTime>) :
        PeerMessage

    /**
     * Asks the receiver, if it gets no answer from the store either, to promise not to take the duty of [pool] from the
     * sender, which is its allocator under [term].
     */
    @Serializable
    @SerialName("OutageQuery")
    public data class OutageQuery(val pool: PoolName, val term: Term, val sequence: Long) : PeerMessage

    /**
     * Answers the [OutageQuery] with the same [sequence]: the sender gets no answer from the store, holds no higher
     * term and will not start to take the duty of [pool] within the promise time.
     */
    @Serializable
    @SerialName("OutagePromise")
    public data class OutagePromise(val pool: PoolName, val term: Term, val sequence: Long) : PeerMessage

    /**
     * Announces that the term of [pool] was raised to [term], so that the receiver makes no more promises to holders of
     * lower terms.
     */
    @Serializable
    @SerialName("TermRaised")
    public data class TermRaised(val pool: PoolName, val term: Term) : PeerMessage

    /** Confirms [TermRaised]; the sender's earlier promises to holders of lower terms expire within [lasting]. */
    @Serializable
    @SerialName("TermNoted")
    public data class TermNoted(val pool: PoolName, val term: Term, val lasting: Duration) : PeerMessage

    /** Asks the receiver for a [Pong], to check that it is alive. */
    @Serializable
    @SerialName("Ping")
    public data object Ping : PeerMessage

    /** Answers a [Ping]. */
    @Serializable
    @SerialName("Pong")
    public data object Pong : PeerMessage

    /**
     * Announces whether the sender reaches any upstream.
     *
     * @property sequence rises with each announcement of the sender, so that an earlier one can be told.
     */
    @Serializable
    @SerialName("UpstreamsReached")
    public data class UpstreamsReached(val reached: Boolean, val sequence: Long) : PeerMessage

    /** Announces that the sender is about to stop and gives up its roles. */
    @Serializable
    @SerialName("Leaving")
    public data object Leaving : PeerMessage

    /** Tells the allocator of [pool] under a term lower than [term] to stop. */
    @Serializable
    @SerialName("Yield")
    public data class Yield(val pool: PoolName, val term: Term) : PeerMessage

    /** Confirms that the sender gives no orders for [pool] under a term lower than [term]. */
    @Serializable
    @SerialName("Yielded")
    public data class Yielded(val pool: PoolName, val term: Term) : PeerMessage
}

/** The result of an attempt under a permit, from which the home VM estimates the state of the upstream. */
public enum class PermitResult {
    /** The upstream answered. */
    Served,

    /** The upstream refused the request because it had no free capacity. */
    Busy,

    /** The upstream refused the request because it is draining or holds no valid grant for the request's slot. */
    Refused,

    /** No connection to the upstream could be made, or no byte of the request was written. */
    Unreachable,

    /** The attempt timed out, or the connection broke before the answer was complete. */
    Broken,

    /** The permit was not used, or the caller disconnected: the result shows nothing about the upstream. */
    Unused,
}

/** The revision and [era] of the latest change under [prefix] that the sender of a [PeerMessage.Digest] knows. */
@Serializable
public data class PrefixDigest(val prefix: String, val latest: StoreRevision, val era: StoreEra = StoreEra.FIRST) {
    /** The position of that change in the store's history. */
    val position: StorePosition get() = StorePosition(era, latest)
}

/** The version of one pool's ownership record in a [PeerMessage.Digest]. */
@Serializable
public data class RecordDigest(val pool: PoolName, val term: Term, val version: RecordVersion)
