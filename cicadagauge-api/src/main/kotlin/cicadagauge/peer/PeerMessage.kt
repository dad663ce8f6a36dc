/*
 * Messages between the router's own VMs. They are sent as JSON over HTTP and may be lost, delayed, repeated and
 * reordered; every handler is idempotent.
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
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/** A message from one VM to another. */
@Serializable
public sealed interface PeerMessage {
    /** Passes an accepted declaration on, as the text that the store holds. */
    @Serializable
    @SerialName("DeclarationUpdate")
    public data class DeclarationUpdate(val version: DeclarationVersion, val text: String) : PeerMessage

    /** Passes a pool's ownership record on. */
    @Serializable
    @SerialName("RecordUpdate")
    public data class RecordUpdate(val record: OwnershipRecord) : PeerMessage

    /** Names the versions that the sender has, so that the receiver can send what is newer. */
    @Serializable
    @SerialName("Digest")
    public data class Digest(
        val declaration: DeclarationVersion,
        val records: List<RecordDigest>,
        val prefixes: List<PrefixDigest> = emptyList(),
    ) : PeerMessage

    /**
     * Passes entries of the store under [prefix] on, as they are after revision [upTo]: those in [entries] have changed
     * since the receiver's digest, and those that are not in [keys] are gone.
     */
    @Serializable
    @SerialName("EntriesUpdate")
    public data class EntriesUpdate(
        val prefix: String,
        val upTo: StoreRevision,
        val entries: List<StoreEntry>,
        val keys: List<StoreKey>,
    ) : PeerMessage

    /**
     * Asks a customer's budget keeper for up to [demand] requests.
     *
     * [stamp] is the keeper's clock reading from its last reply. With it the sender waives its own portion of the
     * customer's rate until the keeper's clock reads [stamp] plus [waiver]; without it, nothing is waived. With [leave]
     * the keeper gives the sender's waiver up, since another keeper is responsible now. A request whose [sequence] is
     * not higher than that of an earlier one is ignored.
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
     * Lends [tokens] requests in answer to request [sequence]; [stamp] is the keeper's clock reading. With [released]
     * the keeper has given up every waiver of the receiver and lends nothing more.
     */
    @Serializable
    @SerialName("BudgetReply")
    public data class BudgetReply(
        val customer: CustomerName,
        val sequence: Long,
        val stamp: Moment,
        val tokens: Int,
        val released: Boolean = false,
    ) : PeerMessage

    /**
     * Asks the home VM of [pool] for a place at an upstream for one request; where the request has no [slot], at one in
     * [zone]. With [maySpill] the sender would rather try another zone than wait.
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
    ) : PeerMessage

    /** The request may go to [upstream] now. */
    @Serializable
    @SerialName("Reserved")
    public data class Reserved(val pool: PoolName, val id: RequestId, val upstream: UpstreamId) : PeerMessage

    /** The request gets no place; [refusal] is its final answer. */
    @Serializable
    @SerialName("Denied")
    public data class Denied(val pool: PoolName, val id: RequestId, val refusal: Refusal) : PeerMessage

    /** Gives a place back, with what the attempt showed of the upstream. */
    @Serializable
    @SerialName("Release")
    public data class Release(
        val pool: PoolName,
        val id: RequestId,
        val result: PlaceResult,
        val duration: Duration,
        val slowness: Double? = null,
    ) : PeerMessage

    /** Names all requests of the sender that run in places of [pool] which the receiver gave. */
    @Serializable
    @SerialName("Holding")
    public data class Holding(val pool: PoolName, val ids: Set<RequestId>) : PeerMessage

    /** Tells the allocator of [pool] what slots were asked for since the last report, and how fast upstreams are. */
    @Serializable
    @SerialName("Heat")
    public data class Heat(val pool: PoolName, val buckets: List<HeatBucket>, val times: List<UpstreamTime>) :
        PeerMessage

    /** Asks whether the receiver, too, gets no answer from the store, and to leave the duty of [pool] alone. */
    @Serializable
    @SerialName("OutageQuery")
    public data class OutageQuery(val pool: PoolName, val term: Term, val sequence: Long) : PeerMessage

    /**
     * Answers query [sequence]: the sender gets no answer from the store, holds no higher term and will not begin to
     * take the duty of [pool] within the promise time.
     */
    @Serializable
    @SerialName("OutagePromise")
    public data class OutagePromise(val pool: PoolName, val term: Term, val sequence: Long) : PeerMessage

    /** Tells that the [term] of [pool] was raised: nothing is promised to the holders of lower ones any more. */
    @Serializable
    @SerialName("TermRaised")
    public data class TermRaised(val pool: PoolName, val term: Term) : PeerMessage

    /** Confirms [TermRaised]; what the sender promised to holders of lower terms before ends in [lasting]. */
    @Serializable
    @SerialName("TermNoted")
    public data class TermNoted(val pool: PoolName, val term: Term, val lasting: Duration) : PeerMessage

    /** Asks the receiver for a sign of life. */
    @Serializable
    @SerialName("Ping")
    public data object Ping : PeerMessage

    /** The sign of life that was asked for. */
    @Serializable
    @SerialName("Pong")
    public data object Pong : PeerMessage

    /** The sender is about to stop and gives its roles up. */
    @Serializable
    @SerialName("Leaving")
    public data object Leaving : PeerMessage

    /** Tells the holder of a lower [term] of [pool] to stop. */
    @Serializable
    @SerialName("Yield")
    public data class Yield(val pool: PoolName, val term: Term) : PeerMessage

    /** Confirms that the sender gives no orders for [pool] below [term]. */
    @Serializable
    @SerialName("Yielded")
    public data class Yielded(val pool: PoolName, val term: Term) : PeerMessage
}

/** What an attempt showed of the upstream whose place it used. */
public enum class PlaceResult { Served, Busy, Refused, Unreachable, Broken, Unused }

/** The latest change under [prefix] that the sender of a [PeerMessage.Digest] knows. */
@Serializable
public data class PrefixDigest(val prefix: String, val latest: StoreRevision)

/** One pool's entry in a [PeerMessage.Digest]. */
@Serializable
public data class RecordDigest(val pool: PoolName, val term: Term, val version: RecordVersion)
