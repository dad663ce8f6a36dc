package cicadagauge.node

import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of one node, fixed for the life of the process.
 *
 * @property vm The VM that the node runs on.
 * @property zone The availability zone of that VM.
 * @property ownership Times of the grant protocol.
 * @property budgets Times and limits of the customers' budgets.
 * @property dispatch Limits of scheduling, queueing and retries.
 * @property dissemination Times and fan-out of the exchange of declarations and records between VMs.
 * @property quarantine Limits for requests that crash upstreams.
 * @property reachability Times of the decision whether this VM reaches any upstream.
 * @property listedBeforeReady How long this VM must have been on the list of VMs before it reports itself ready.
 * @property registration The VM as which the node registers itself in the store; null where the platform lists VMs.
 */
public data class NodeSettings(
    val vm: VmId,
    val zone: AvailabilityZone,
    val ownership: OwnershipSettings = OwnershipSettings(),
    val budgets: BudgetSettings = BudgetSettings(),
    val dispatch: DispatchSettings = DispatchSettings(),
    val dissemination: DisseminationSettings = DisseminationSettings(),
    val quarantine: QuarantineSettings = QuarantineSettings(),
    val reachability: ReachabilitySettings = ReachabilitySettings(),
    val listedBeforeReady: Duration = 1.seconds,
    val registration: Vm? = null,
)

/**
 * Times of the grant protocol.
 *
 * @property lease How long an upstream may use a slot grant without a renewal. It must be longer than [dutyLease] plus
 * a takeover, or the loss of an allocator would interrupt service.
 * @property renewal Interval between grant orders while no change of owners is in progress. It also bounds how long a
 * new allocator waits for the first reports of its upstreams, and how often promises are asked for in a store outage.
 * @property transition Interval between grant orders while a change of owners is in progress.
 * @property grantAnswerTimeout How long an upstream may leave grant orders unanswered before it counts as silent, and
 * how long a change of owners may wait for confirmations before it is planned again.
 * @property dutyLease Lifetime of a VM's lease in the store, under which it holds its duties and its registration.
 * @property dutyRenewal Interval between renewals of that lease.
 * @property standbyStagger Delay per rank with which the standby VMs try to take over a vacant duty.
 * @property warmUpStep Interval between increases of a member's share. It is also the shortest time for which an
 * upstream that was lost must answer before it is used again.
 * @property minMemberChangeInterval Shortest interval between planned changes of a pool's members. Losses are
 * handled at once.
 * @property storeOutTimeout Time without any answer from the store after which it counts as unavailable.
 * @property storeRetry Delay before a failed store call for a duty is repeated.
 * @property outagePromise How long a VM promises not to take over a duty while the store is unavailable.
 * @property listLag Longest time by which the list of VMs may lag behind.
 * @property clockDrift How much two clocks may differ in speed, as a fraction of the time measured.
 * @property ranges Times of range grants.
 * @property registrationRetry Delay before a failed registration of this VM is repeated, and interval at which the list
 * of registered VMs is confirmed.
 * @property holderHeadStart How long, after the store has come back from an older copy, the other VMs leave a pool's
 * duty to the VM that held it.
 */
public data class OwnershipSettings(
    val lease: Duration = 1_200.milliseconds,
    val renewal: Duration = 200.milliseconds,
    val transition: Duration = 25.milliseconds,
    val grantAnswerTimeout: Duration = 600.milliseconds,
    val dutyLease: Duration = 500.milliseconds,
    val dutyRenewal: Duration = 125.milliseconds,
    val standbyStagger: Duration = 50.milliseconds,
    val warmUpStep: Duration = 1.seconds,
    val minMemberChangeInterval: Duration = 200.milliseconds,
    val storeOutTimeout: Duration = 1.seconds,
    val storeRetry: Duration = 50.milliseconds,
    val outagePromise: Duration = 2.seconds,
    val listLag: Duration = 10.seconds,
    val clockDrift: Double = 0.01,
    val ranges: RangeSettings = RangeSettings(),
    val registrationRetry: Duration = 250.milliseconds,
    val holderHeadStart: Duration = 1.seconds,
) {
    /** An upper bound, on any VM's clock, of the time for which a VM may rely on its store lease without a renewal. */
    val longestLease: Duration get() = dutyLease * (1 + 2 * clockDrift)
}

/**
 * Times of range grants.
 *
 * @property grantLifetime How long an upstream may serve a range after it has accepted a grant.
 * @property renewal Delay from an accepted grant to its renewal.
 * @property retry Delay before an order that was rejected or not answered is sent again.
 * @property refusedRetry Delay before an order is sent again to an upstream that has refused the connection.
 * @property grantTimeout Timeout of a grant order, and thus the longest time that one may be in transit.
 * @property releaseTimeout Timeout of a release order, and thus the longest time that an upstream may take to finish
 * its work on the range.
 * @property maxSilence How long an upstream may leave orders unanswered before it counts as lost. Its ranges move once
 * its last [grantLifetime] has certainly expired.
 * @property checkInterval Interval at which an allocator checks its ranges.
 * @property probeInterval Interval at which an upstream that counts as lost is probed.
 * @property planDelay Delay from the start of a term to its first plan, where the pool has ranges already.
 * @property firstPlanSettleTime How long the registered upstreams must stay the same before a pool's first plan.
 * @property firstPlanTimeout Longest time from the start of a term to a pool's first plan, even if upstreams are still
 * registering.
 * @property minPlanInterval Shortest interval between plans.
 * @property minUrgentPlanInterval The same while a range has an owner that can't hold it any more.
 * @property storelessRenewal How long an allocator may go on renewing grants without an answer from the store.
 * @property upstreamDrift How much an upstream's clock may differ in speed from a VM's, as a fraction of the time
 * measured.
 * @property balance When ranges move for the sake of load.
 */
public data class RangeSettings(
    val grantLifetime: Duration = 1_700.milliseconds,
    val renewal: Duration = 500.milliseconds,
    val retry: Duration = 40.milliseconds,
    val refusedRetry: Duration = 200.milliseconds,
    val grantTimeout: Duration = 200.milliseconds,
    val releaseTimeout: Duration = 1_500.milliseconds,
    val maxSilence: Duration = 1_400.milliseconds,
    val checkInterval: Duration = 50.milliseconds,
    val probeInterval: Duration = 2.seconds,
    val planDelay: Duration = 300.milliseconds,
    val firstPlanSettleTime: Duration = 1.seconds,
    val firstPlanTimeout: Duration = 5.seconds,
    val minPlanInterval: Duration = 500.milliseconds,
    val minUrgentPlanInterval: Duration = 50.milliseconds,
    val storelessRenewal: Duration = 15.seconds,
    val upstreamDrift: Double = 0.02,
    val balance: BalanceSettings = BalanceSettings(),
)

/**
 * When a range, or a part of it, moves to a less utilized upstream: when the waiting that callers are expected to save
 * is worth more than what the move costs them.
 *
 * @property loadDuration How long a load is expected to last, and thus for how long a move saves waiting. With zero,
 * ranges move only to upstreams that own none and away from those that are lost.
 * @property movedRequestDelay Cost of a move for each request per second to the moved slots: how long these requests
 * are held up, together, until the new owner serves them at its usual speed.
 * @property wholeMoveCost Waiting, of all requests together, that moving all slots of a pool must save to be worth it;
 * a part of them costs its share.
 * @property upstreamsPerMove One plan makes one such move for this number of upstreams, and at least two.
 * @property heatTimeConstant Time constant with which counted requests are forgotten.
 * @property serviceTimeConstant Time constant of the average of an upstream's service time; longer than the moments for
 * which an upstream is slow because of its neighbours.
 */
public data class BalanceSettings(
    val loadDuration: Duration = 4.seconds,
    val movedRequestDelay: Duration = 50.milliseconds,
    val wholeMoveCost: Duration = 200.seconds,
    val upstreamsPerMove: Int = 4,
    val heatTimeConstant: Duration = 1_500.milliseconds,
    val serviceTimeConstant: Duration = 3.seconds,
)

/**
 * Times and limits of the customers' budgets.
 *
 * @property waiver How long a VM waives its portion to the coordinator with each request for tokens.
 * @property requestInterval Longest interval between requests for tokens while a customer is active. Refused callers
 * are told to retry after this time.
 * @property idleWaiver Like [waiver], for a customer without recent requests on this VM; the longest waiver there is.
 * @property idleRequestInterval Like [requestInterval], for a customer without recent requests whose portion the
 * coordinator has.
 * @property maxLoanLifetime Longest lifetime of lent tokens.
 * @property answerTimeout Shortest time after which the coordinator's answer counts as missing; it is longer where
 * round trips take longer.
 * @property emptyPause How long, after a reply without tokens, arriving requests are refused instead of waiting for the
 * coordinator.
 * @property coordinatorSuspicion How long a coordinator that did not answer ranks last.
 * @property maxWaitingPerCustomer Most requests of one customer that may wait for tokens on this VM.
 * @property seatLag Longest time by which the list of VMs may lag behind, for the decision that the holder of a seat
 * has stopped.
 * @property clockDrift How much two clocks may differ in speed, as a fraction of the time measured.
 */
public data class BudgetSettings(
    val waiver: Duration = 500.milliseconds,
    val requestInterval: Duration = 100.milliseconds,
    val idleWaiver: Duration = 2.seconds,
    val idleRequestInterval: Duration = 1.seconds,
    val maxLoanLifetime: Duration = 200.milliseconds,
    val answerTimeout: Duration = 50.milliseconds,
    val emptyPause: Duration = 10.milliseconds,
    val coordinatorSuspicion: Duration = 1.seconds,
    val maxWaitingPerCustomer: Int = 1_000,
    val seatLag: Duration = 10.seconds,
    val clockDrift: Double = 0.01,
)

/** Which VM counts the requests that run on an upstream against its concurrency limit. */
public enum class HomePolicy {
    /** Each VM counts only its own requests. */
    Local,

    /** One home VM per upstream counts for all VMs and lends the others a permit for each attempt. */
    Lend,

    /** One home VM per upstream counts for all VMs, and the others relay their requests through it. */
    Relay,
}

/**
 * Limits of scheduling, queueing and retries.
 *
 * @property homes Which VM counts the requests that run on an upstream.
 * @property poolQueueLimit Most requests that may wait in one pool's scheduler.
 * @property customerQueueLimit Most requests of one customer that may wait in one queue.
 * @property maxAttempts Most attempts for one request, relays included.
 * @property retryRatio Retries of requests that have reached an upstream which all VMs together may send to a pool, per
 * request to it.
 * @property retryBurst Such retries to a pool that all VMs together may send in addition, in any short time.
 * @property sweepInterval Interval at which waiting requests are checked for deadlines and retries.
 * @property permitReportInterval Interval at which this VM reports to home VMs which of their permits it uses. A home
 * VM frees a permit that is missing from the report, if it was lent at least twice this time before.
 * @property relayMargin How long before its deadline a home VM answers a relayed request, and how long after it the
 * relaying VM gives up waiting.
 * @property ownerWait How long a request may wait while its slot moves to another owner.
 * @property drainingServiceTime How long a draining upstream goes on serving its keys, while they move.
 * @property takenOutServiceTime The same for an upstream that operators have taken out of service, or its zone.
 * @property stallTimeout How long an upstream that runs requests may answer none before it counts as stalled. Slow
 * upstreams are allowed longer.
 * @property spillWait Expected wait above which a request without a key tries another availability zone.
 * @property zoneNewsMaxAge How long a request skips an availability zone whose home VM has refused another one for
 * lack of capacity; shorter if the work that waits there is less. With zero, each request tries the zones in turn.
 * @property crossingWait How much sooner another zone must be for a request to wait there and not in this VM's zone.
 * @property heatReportInterval Interval at which home VMs report load to the allocators.
 * @property homeTrackingTime How long this VM goes on reporting to a home VM after it last used one of its permits, and
 * watching it after it last relayed a request to it.
 * @property homeAnswerTimeout How long a home VM may leave a reservation unanswered before it is suspected and a permit
 * is requested again.
 * @property homePingInterval Interval at which home VMs in use are checked; one not heard from for that long is pinged.
 * @property homePingTimeout How long a home VM may leave pings unanswered before it is suspected.
 * @property maxPingedHomes With more home VMs in use, only those are pinged that have left a relayed request unanswered
 * for [homePatience].
 * @property homePatience See [maxPingedHomes].
 * @property homeSuspicion How long a suspected home VM ranks last. It is also how long a home VM keeps a permit past
 * the deadline of its request.
 * @property backoff Delay before the first retry, and pause of an upstream after its first failed attempt; doubled with
 * each further one.
 * @property maxBackoff Upper bound of those delays.
 */
public data class DispatchSettings(
    val homes: HomePolicy = HomePolicy.Relay,
    val poolQueueLimit: Int = 2_000,
    val customerQueueLimit: Int = 500,
    val maxAttempts: Int = 8,
    val retryRatio: Double = 0.2,
    val retryBurst: Int = 50,
    val sweepInterval: Duration = 5.milliseconds,
    val permitReportInterval: Duration = 100.milliseconds,
    val relayMargin: Duration = 10.milliseconds,
    val ownerWait: Duration = 500.milliseconds,
    val drainingServiceTime: Duration = 1_600.milliseconds,
    val takenOutServiceTime: Duration = 4.seconds,
    val stallTimeout: Duration = 400.milliseconds,
    val spillWait: Duration = 40.milliseconds,
    val zoneNewsMaxAge: Duration = 200.milliseconds,
    val crossingWait: Duration = 20.milliseconds,
    val heatReportInterval: Duration = 500.milliseconds,
    val homeTrackingTime: Duration = 5.seconds,
    val homeAnswerTimeout: Duration = 40.milliseconds,
    val homePingInterval: Duration = 50.milliseconds,
    val homePingTimeout: Duration = 200.milliseconds,
    val maxPingedHomes: Int = 16,
    val homePatience: Duration = 100.milliseconds,
    val homeSuspicion: Duration = 1.seconds,
    val backoff: Duration = 20.milliseconds,
    val maxBackoff: Duration = 160.milliseconds,
)

/**
 * Limits for requests that crash the upstreams that run them.
 *
 * @property maxCrashes After how many crashes in succession a request is no longer run.
 * @property retention How long a crash is remembered, and thus how long a request is refused after the last one.
 * @property maxRecords Most requests that are remembered; the oldest are forgotten first.
 * @property maxCrashesPerSecond Most upstreams per second whose crash this VM ascribes to a request.
 */
public data class QuarantineSettings(
    val maxCrashes: Int = 2,
    val retention: Duration = 10.minutes,
    val maxRecords: Int = 1_000,
    val maxCrashesPerSecond: Int = 2,
)

/**
 * Times of the decision whether this VM reaches any upstream, and of its announcement to the other VMs.
 *
 * @property evidenceLifetime How long a failed attempt at an upstream counts.
 * @property silence How long the upstreams at which requests run may all leave them unanswered before new connections
 * are tried.
 * @property silenceCheckInterval Interval at which that is checked while requests run.
 * @property checkPause Shortest time from a check in which a connection was accepted to the next one.
 * @property returnProbeInterval Interval at which a VM that reaches no upstream tries to connect to some.
 * @property announcementInterval Interval at which such a VM repeats its announcement.
 * @property announcementLifetime How long an announcement that is not repeated counts.
 */
public data class ReachabilitySettings(
    val evidenceLifetime: Duration = 1.seconds,
    val silence: Duration = 400.milliseconds,
    val silenceCheckInterval: Duration = 100.milliseconds,
    val checkPause: Duration = 1.seconds,
    val returnProbeInterval: Duration = 250.milliseconds,
    val announcementInterval: Duration = 2.seconds,
    val announcementLifetime: Duration = 5.seconds,
)

/**
 * Times and fan-out of the exchange of declarations and records between VMs, and of the store watches behind it.
 *
 * @property fanOut Children per VM in the dissemination tree.
 * @property antiEntropyInterval Interval at which a VM compares its versions with those of another VM.
 * @property watchersPerZone most VMs per availability zone that watch declarations, registrations and duties in the
 * store.
 * @property vmsPerWatcher how many VMs of a zone there are for each such watcher.
 * @property everyVmWatchesUpTo most VMs that a fleet may have of which every one watches the store.
 * @property dutyHoldersPerZone VMs per availability zone that may hold duties.
 * @property news Times of the exchange of what the watchers read; null where it is not passed on.
 * @property recordWatchersPerZone VMs per availability zone that watch ownership records in the store.
 * @property watchWait How long a store watch may wait for changes.
 * @property shortWatchWait The same on the VM that ranks first among the watchers, and on all of them for
 * [shortWatchPeriod] after the store's return. It bounds how long a lost watch can go unnoticed.
 * @property shortWatchPeriod How long after the store's return all watches wait for [shortWatchWait] only.
 * @property watchRetry Delay before a failed store read or watch is repeated.
 * @property informedWatchRetry The same where peers have told this VM recently what they have read.
 * @property minWatchRenewalInterval Shortest time from a watch to the one that replaces it on the store's return.
 * @property watchPause Delay between a watch that returned changes and the next one.
 * @property watcherPingInterval Interval at which the watchers next in rank check those before them; one not heard from
 * for that long is pinged.
 * @property watcherPingTimeout How long a watcher may leave pings unanswered before it is suspected.
 * @property watcherSuspicion How long a suspected watcher ranks last.
 * @property registrationGrace How long after the store's return an upstream whose registration has lapsed may register
 * again before it is removed.
 * @property rollbackGrace How long after the store has come back from an older copy what was known before stays in
 * force, so that those who wrote it can write it again.
 */
public data class DisseminationSettings(
    val fanOut: Int = 16,
    val antiEntropyInterval: Duration = 500.milliseconds,
    val watchersPerZone: Int = 2,
    val vmsPerWatcher: Int = 1,
    val everyVmWatchesUpTo: Int = 0,
    val dutyHoldersPerZone: Int = 2,
    val news: StoreNewsSettings? = null,
    val recordWatchersPerZone: Int = 2,
    val watchWait: Duration = 10.seconds,
    val shortWatchWait: Duration = 1_500.milliseconds,
    val shortWatchPeriod: Duration = 5.seconds,
    val watchRetry: Duration = 250.milliseconds,
    val informedWatchRetry: Duration = 1.seconds,
    val minWatchRenewalInterval: Duration = 500.milliseconds,
    val watchPause: Duration = Duration.ZERO,
    val watcherPingInterval: Duration = 300.milliseconds,
    val watcherPingTimeout: Duration = 600.milliseconds,
    val watcherSuspicion: Duration = 5.seconds,
    val registrationGrace: Duration = 2_300.milliseconds,
    val rollbackGrace: Duration = 5.seconds,
)

/**
 * Times by which watchers pass on what they read in the store, and others notice that they don't.
 *
 * @property minInterval Shortest time from a watcher's announcement to the next one that brings no change.
 * @property changeDelay Delay from a change to the announcement of it by the watchers that don't pass it on themselves.
 * @property arrivalTime How long a change that was announced may take to arrive before it is asked for.
 * @property queryAfter Age of the news from which this VM asks other VMs for it.
 * @property queryInterval Interval at which it does.
 * @property readAfter Age of the news from which this VM reads the store itself.
 * @property settleTime How long this VM must rank among the watchers before it becomes one while it has news from
 * others, and how long it reads the store itself at least.
 * @property startPause Time from the start to the first decision, in which the other VMs become known.
 * @property checkInterval Interval of the decisions.
 */
public data class StoreNewsSettings(
    val minInterval: Duration = 300.milliseconds,
    val changeDelay: Duration = 50.milliseconds,
    val arrivalTime: Duration = 100.milliseconds,
    val queryAfter: Duration = 600.milliseconds,
    val queryInterval: Duration = 300.milliseconds,
    val readAfter: Duration = 1.seconds,
    val settleTime: Duration = 1.seconds,
    val startPause: Duration = 300.milliseconds,
    val checkInterval: Duration = 100.milliseconds,
)
