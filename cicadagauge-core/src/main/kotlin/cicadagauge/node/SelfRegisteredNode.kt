package cicadagauge.node

import cicadagauge.membership.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of nodes on a platform that keeps no list of VMs, where each node registers itself in the store. A VM
 * whose registration has lapsed may go on renewing grants for a limited time, and counts as stopped only after that.
 */
public object SelfRegisteredNode {
    /** The store accepts lease times of 1 s or more; a lease of 1.5 s survives one lost renewal. */
    private val STORE_LEASE_TIME: Duration = 1_500.milliseconds
    private val STORE_LEASE_RENEWAL_INTERVAL: Duration = 450.milliseconds

    /** How long a VM that is missing may still send orders: the time it renews without the store, plus two leases. */
    private val ABSENCE_TIMEOUT: Duration = RangeSettings().storelessRenewal + STORE_LEASE_TIME * 2

    /** Long enough for a renewal to succeed after two lost messages between VMs. */
    private val WAIVER_TIME: Duration = 1.seconds

    /** With eight customers and nine VMs this makes 40 calls per second for each VM. */
    private val BUDGET_REQUEST_INTERVAL: Duration = 400.milliseconds

    /** A customer's burst is about what its rate allows in 1 s, and loans may take at most half of the burst. */
    private val MAX_LOAN_LIFETIME: Duration = 500.milliseconds

    /** Small VMs take tens of milliseconds to answer while their code is still being JIT-compiled. */
    private val COORDINATOR_ANSWER_TIMEOUT: Duration = 150.milliseconds

    /** Every store call has a cost, so changes that arrive close together are read in one call. */
    private val WATCH_PAUSE: Duration = 150.milliseconds

    /** Below the store's limit of 30 s for a watch. */
    private val WATCH_WAIT: Duration = 25.seconds

    /** The time within which the other VMs have read a new registration. */
    private val LISTED_BEFORE_READY: Duration = 400.milliseconds

    /** The store's news still reaches a zone at once when one of its watchers has stopped. */
    private const val WATCHERS_PER_ZONE = 2

    /** A small zone has one watcher, and is served by those of the other zones when that one has stopped. */
    private const val VMS_PER_WATCHER = 12

    /** Up to this many VMs, the calls of all of them cost the store little, and no news is older than by one hop. */
    private const val SMALL_FLEET = 12

    /** The settings of the node that runs on [vm] and registers itself as such, with the limits of [dispatch]. */
    public fun settings(vm: Vm, dispatch: DispatchSettings): NodeSettings = NodeSettings(
        vm = vm.id,
        zone = vm.zone,
        ownership = OwnershipSettings(
            dutyLease = STORE_LEASE_TIME,
            dutyRenewal = STORE_LEASE_RENEWAL_INTERVAL,
            storeOutTimeout = STORE_LEASE_TIME,
            listLag = ABSENCE_TIMEOUT,
        ),
        budgets = BudgetSettings(
            waiver = WAIVER_TIME,
            idleWaiver = WAIVER_TIME,
            idleRequestInterval = BUDGET_REQUEST_INTERVAL,
            requestInterval = BUDGET_REQUEST_INTERVAL,
            maxLoanLifetime = MAX_LOAN_LIFETIME,
            answerTimeout = COORDINATOR_ANSWER_TIMEOUT,
            coordinatorSuspicion = BUDGET_REQUEST_INTERVAL,
            seatLag = ABSENCE_TIMEOUT,
        ),
        dispatch = dispatch.copy(sweepInterval = 10.milliseconds),
        dissemination = DisseminationSettings(
            watchersPerZone = WATCHERS_PER_ZONE,
            vmsPerWatcher = VMS_PER_WATCHER,
            everyVmWatchesUpTo = SMALL_FLEET,
            dutyHoldersPerZone = Int.MAX_VALUE,
            news = StoreNewsSettings(),
            recordWatchersPerZone = 1,
            watchPause = WATCH_PAUSE,
            watchWait = WATCH_WAIT,
        ),
        registration = vm,
        listedBeforeReady = LISTED_BEFORE_READY,
    )
}
