package cicadagauge.node

import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What one node is told at its start. With [registration] it registers itself as that VM in the store. */
public data class NodeSettings(
    val vm: VmId,
    val zone: AvailabilityZone,
    val ownership: OwnershipSettings = OwnershipSettings(),
    val budgets: BudgetSettings = BudgetSettings(),
    val dispatch: DispatchSettings = DispatchSettings(),
    val dissemination: DisseminationSettings = DisseminationSettings(),
    val listedBeforeReady: Duration = 1.seconds,
    val registration: Vm? = null,
)

/**
 * Times of the grant protocol. [clockDrift] bounds how much two clocks may differ in speed, as a part of the time
 * measured. [lease] must outlast [dutyLease] and a takeover, or losing an allocator would interrupt service.
 */
public data class OwnershipSettings(
    val lease: Duration = 1_200.milliseconds,
    val renewal: Duration = 200.milliseconds,
    val transition: Duration = 25.milliseconds,
    val suspicion: Duration = 600.milliseconds,
    val dutyLease: Duration = 500.milliseconds,
    val dutyRenewal: Duration = 125.milliseconds,
    val standbyStagger: Duration = 50.milliseconds,
    val warmUpStep: Duration = 1.seconds,
    val pace: Duration = 200.milliseconds,
    val storeOut: Duration = 1.seconds,
    val storeRetry: Duration = 50.milliseconds,
    val outagePromise: Duration = 2.seconds,
    val listLag: Duration = 10.seconds,
    val clockDrift: Double = 0.01,
    val ranges: RangeSettings = RangeSettings(),
    val registrationRetry: Duration = 250.milliseconds,
)

/**
 * Times of range grants. An upstream that leaves [silence] of orders unanswered is given up; its ranges move once its
 * last [hold] is surely over. [orderTime] bounds how long an order may be on its way, [releaseTime] how long an
 * upstream may take to finish its work. Without the store an allocator goes on renewing for [storelessRenewal] at
 * most. An upstream that was given up is asked again every [doubtFor].
 */
public data class RangeSettings(
    val hold: Duration = 2_500.milliseconds,
    val renewal: Duration = 700.milliseconds,
    val retry: Duration = 40.milliseconds,
    val orderTime: Duration = 200.milliseconds,
    val releaseTime: Duration = 1_500.milliseconds,
    val silence: Duration = 1_400.milliseconds,
    val tick: Duration = 50.milliseconds,
    val doubtFor: Duration = 2.seconds,
    val settle: Duration = 300.milliseconds,
    val firstSettle: Duration = 1.seconds,
    val firstLimit: Duration = 5.seconds,
    val planPause: Duration = 500.milliseconds,
    val storelessRenewal: Duration = 15.seconds,
    val upstreamDrift: Double = 0.02,
)

/** Times of the customers' budgets. */
public data class BudgetSettings(
    val waiver: Duration = 500.milliseconds,
    val refresh: Duration = 100.milliseconds,
    val idleWaiver: Duration = 2.seconds,
    val idleRefresh: Duration = 1.seconds,
    val maxLoan: Duration = 200.milliseconds,
    val answerWait: Duration = 50.milliseconds,
    val emptyPause: Duration = 10.milliseconds,
    val suspicion: Duration = 1.seconds,
    val maxWaiting: Int = 1_000,
    val seatLag: Duration = 10.seconds,
    val clockDrift: Double = 0.01,
)

/** How the places of upstreams are shared between VMs. */
public enum class HomePolicy {
    /** Each VM counts for itself. */
    Local,

    /** One home VM per upstream counts for all and lends places to the others. */
    Lend,

    /** One home VM per upstream counts for all, and the others' requests pass through it. */
    Relay,
}

/**
 * Limits of scheduling, queueing and retries. A home answers a relayed request [relayMargin] before its deadline. A
 * request whose slot is on its way to another owner waits for [ownerWait] at most. An upstream at which requests run
 * and that has answered none for [stall] is taken to be standing still. Where the wait is longer than [spillWait], a
 * request without a key would rather try another availability zone.
 */
public data class DispatchSettings(
    val homes: HomePolicy = HomePolicy.Relay,
    val queuedPerPool: Int = 2_000,
    val queuedPerCustomer: Int = 500,
    val maxAttempts: Int = 8,
    val retryRatio: Double = 0.1,
    val retryBurst: Int = 50,
    val sweep: Duration = 5.milliseconds,
    val holding: Duration = 100.milliseconds,
    val relayMargin: Duration = 10.milliseconds,
    val ownerWait: Duration = 500.milliseconds,
    val stall: Duration = 400.milliseconds,
    val spillWait: Duration = 40.milliseconds,
    val heatReport: Duration = 500.milliseconds,
    val holdingMemory: Duration = 5.seconds,
    val homeSilence: Duration = 40.milliseconds,
    val homePing: Duration = 50.milliseconds,
    val homePingSilence: Duration = 200.milliseconds,
    val homeSuspicion: Duration = 1.seconds,
    val backoff: Duration = 20.milliseconds,
    val maxBackoff: Duration = 160.milliseconds,
)

/** How declarations and records spread over the fleet. */
public data class DisseminationSettings(
    val fanOut: Int = 16,
    val antiEntropy: Duration = 500.milliseconds,
    val watchersPerZone: Int = 2,
    val recordWatchersPerZone: Int = 2,
    val watchWait: Duration = 10.seconds,
    val watchRetry: Duration = 250.milliseconds,
    val watchPause: Duration = Duration.ZERO,
    val registrationGrace: Duration = 2_300.milliseconds,
)
