package cicadagauge.node

import cicadagauge.admission.CustomerBudgets
import cicadagauge.admission.RequestAdmission
import cicadagauge.admission.SeatHolder
import cicadagauge.configuration.DeclarationHolder
import cicadagauge.configuration.Inventory
import cicadagauge.declaration.Declaration
import cicadagauge.dispatch.Dispatcher
import cicadagauge.dissemination.Disseminator
import cicadagauge.dissemination.StoreNews
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.UpstreamReachability
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.membership.VmRegistration
import cicadagauge.membership.WatcherMonitor
import cicadagauge.membership.Watchers
import cicadagauge.ownership.DutyManager
import cicadagauge.ownership.DutyServices
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.ProcessLease
import cicadagauge.ownership.RangeOrders
import cicadagauge.ownership.era
import cicadagauge.peer.PeerMessage
import cicadagauge.quarantine.CrashDetector
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import cicadagauge.store.NodeCodecs
import cicadagauge.store.ReadingPolicy
import cicadagauge.store.RollbackFilter
import cicadagauge.store.SharedEntries
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreListener
import cicadagauge.store.StoreWatcher
import kotlin.time.Duration

/** The [Node] that is composed of the components of the core. [start] is the moment at which the process starts. */
public class DefaultNode(private val settings: NodeSettings, private val codecs: NodeCodecs, start: Moment) : Node {
    private val effects = Effects()
    private val timers = Timers()
    private val store = StoreClient(effects)
    private val absenceTimeout = if (settings.registration == null) Duration.ZERO else settings.ownership.listLag
    private val vms = VmDirectory(settings.vm, settings.zone, effects, absenceTimeout)
    private val watchers = Watchers(
        vms = vms,
        perZone = settings.dissemination.watchersPerZone,
        vmsPerWatcher = settings.dissemination.vmsPerWatcher,
        everyVmUpTo = settings.dissemination.everyVmWatchesUpTo,
    )
    private val dutyHolders = Watchers(vms, settings.dissemination.dutyHoldersPerZone)
    private val recordWatchers = Watchers(vms, settings.dissemination.recordWatchersPerZone)
    private val reachability = UpstreamReachability(vms, settings.reachability, timers, effects) { isOwn, now ->
        dispatcher.reachabilityChanged(now)
        duties.reachabilityChanged(isOwn, now)
    }
    private val owners = OwnerDirectory()
    private val inventory = Inventory(store, timers, settings.dissemination.registrationGrace, ::applyInventory)
    private val quarantine = RequestQuarantine(settings.quarantine, effects) { suspicion, source ->
        disseminator.propagateSuspicion(suspicion, source)
    }
    private val crashDetector = CrashDetector(settings.quarantine, quarantine, effects, reachability)
    private val dispatcher: Dispatcher = Dispatcher(
        vms = vms,
        owners = owners,
        settings = settings.dispatch,
        quarantine = quarantine,
        crashDetector = crashDetector,
        reachability = reachability,
        timers = timers,
        effects = effects,
        coldUntil = inventory::coldUntil,
    )
    private val seats = SeatHolder(vms, store, timers, settings.budgets, start) { budgets.divideRates(it) }
    private val budgets: CustomerBudgets = CustomerBudgets(vms, seats, settings.budgets, timers, start)
    private val admission = RequestAdmission(owners, budgets, dispatcher, effects)
    private val declarations = DeclarationHolder(codecs.declarations, effects, ::configure)
    private val sharedEntries = listOf(StoreKeys.UPSTREAMS, StoreKeys.ZONES_OUT).map(::SharedEntries)
    private val stateEntries = SharedEntries(StoreKeys.STATE)
    private val news = settings.dissemination.news?.let {
        StoreNews(vms, watchers, store, declarations, sharedEntries + stateEntries, it, timers, effects, start)
    }
    private val disseminator: Disseminator =
        Disseminator(vms, declarations, owners, store, sharedEntries, quarantine, settings.dissemination, timers)
    private val lease = ProcessLease(store, timers, settings.ownership)
    private val orders = RangeOrders(effects, reachability::failed)
    private val registration = settings.registration?.let { vm ->
        VmRegistration(
            self = vm,
            codec = codecs.vms,
            store = store,
            lease = lease,
            timers = timers,
            retryDelay = settings.ownership.registrationRetry,
            isCurrent = { news?.isCurrent(it) ?: true },
            onListed = ::listed,
        )
    }
    private val duties: DutyManager = DutyManager(
        DutyServices(
            vms = vms,
            candidates = dutyHolders,
            store = store,
            codec = codecs.records,
            settings = settings.ownership,
            timers = timers,
            effects = effects,
            publisher = { record, now -> adoptRecord(record, source = null, now = now) },
            owners = owners,
            orders = orders,
            lease = lease,
            reachability = reachability,
        ),
    )
    private val stateWatcher = storeWatcher(StoreKeys.STATE, watchers, news)
    private val newsWatchers = listOf(
        storeWatcher(StoreKeys.OPERATORS, watchers, news),
        storeWatcher(StoreKeys.UPSTREAMS, watchers, news),
        stateWatcher,
    )
    private val storeWatchers = newsWatchers + storeWatcher(StoreKeys.RECORDS, recordWatchers, policy = null)
    private val watcherMonitor = WatcherMonitor(vms, watchers, settings.dissemination, timers) { now ->
        storeWatchers.forEach { it.rankChanged(now) }
    }
    private var wakeAt = Moment.FUTURE
    private var stopping = false

    init {
        store.onNewEra(::eraChanged)
    }

    override fun handle(event: Event, now: Moment): List<Effect> {
        if (event == Event.Woken) wakeAt = Moment.FUTURE
        handleEvent(event, now)
        timers.run(now)
        scheduleWake()
        return effects.take()
    }

    override fun status(now: Moment): NodeStatus = NodeStatus(
        vm = settings.vm,
        ready = isReady(now),
        declaration = declarations.version,
        duties = duties.heldPools,
        pools = owners.records().map(::poolStatus),
        pendingRequests = dispatcher.pending,
        storeReachable = store.lastAnswerAt + settings.ownership.storeOutTimeout > now,
        readsStore = news?.isReading ?: watchers.includesSelf(),
        storeNewsAgeMillis = (news?.newsAge(now) ?: (now - store.lastAnswerAt)).inWholeMilliseconds,
        vms = vms.all.map { it.id },
    )

    private fun handleEvent(event: Event, now: Moment) {
        when (event) {
            is Event.RequestArrived -> admission.arrived(event.id, event.head, now)
            is Event.RelayArrived -> dispatcher.acceptRelayed(event.id, event.request, event.head, event.timeLeft, now)
            is Event.AttemptEnded -> dispatcher.attemptEnded(event, now)
            is Event.BodyRead -> dispatcher.bodyRead(event.id, event.body, now)
            is Event.UpstreamChecked -> upstreamChecked(event.upstream, event.state, now)
            is Event.CallerDisconnected -> dispatcher.callerLeft(event.id, now)
            is Event.PeerMessageReceived -> handlePeerMessage(event.from, event.message, now)
            is Event.GrantReported -> duties.grantReported(event.report, now)
            is Event.RangeOrderEnded -> orders.outcomeReceived(event.id, event.outcome, now)
            is Event.StoreReplied -> store.replied(event.call, event.reply, now, event.era)
            is Event.VmsListed -> listed(event.vms, now)
            Event.Started -> started(now)
            is Event.Suspended -> suspended(event, now)
            Event.StopRequested -> stop()
            Event.StopEnding -> dispatcher.refuseWaiting(now)
            Event.Woken -> Unit
        }
    }

    private fun started(now: Moment) {
        registration?.start(now)
        storeWatchers.forEach { it.start(now) }
        news?.start(newsWatchers, now)
        disseminator.start(now)
        watcherMonitor.start(now)
        budgets.start(now)
        dispatcher.start(now)
        dispatcher.monitorHomes(now)
        expireSuspicions(now)
        reportHeat(now)
    }

    /** Gives up leases, loans and waivers, since the clock that measured their remaining time may have stopped. */
    private fun suspended(event: Event.Suspended, now: Moment) {
        effects.add(Effect.StateChanged(StateChange.Suspended(event.unseen)))
        lease.invalidate(now)
        duties.suspended()
        budgets.suspended(now)
    }

    /** Reports to each pool's allocator the load that this VM has counted as a home. */
    private fun reportHeat(now: Moment) {
        for (heat in dispatcher.homeSchedulers.takeLoadReports()) {
            val allocator = owners[heat.pool]?.record?.allocator ?: continue
            if (allocator == vms.self) duties.heatReported(heat, now) else vms.vm(allocator)?.let { vms.send(it, heat) }
        }
        timers.at(now + settings.dispatch.heatReportInterval, ::reportHeat)
    }

    /** Renews in the store what this VM had there in the era [previous], and reads it again. */
    private fun eraChanged(previous: StoreEra, now: Moment) {
        val writtenAgain = duties.heldPools.map { "duty of $it" } +
            listOfNotNull("registration".takeIf { registration != null }, "seat".takeIf { seats.isHeld })
        effects.add(Effect.StateChanged(StateChange.StoreEraChanged(previous, store.era, writtenAgain)))
        duties.eraChanged(previous, now)
        lease.eraChanged(now)
        registration?.eraChanged(now)
        seats.eraChanged()
        storeWatchers.forEach { it.eraChanged(now) }
        disseminator.propagateEra()
    }

    private fun stop() {
        stopping = true
        vms.markLeaving(vms.self)
        vms.peers.forEach { vms.send(it, PeerMessage.Leaving) }
        budgets.stop()
        duties.stop()
    }

    private fun listed(list: List<Vm>, now: Moment) {
        vms.update(list, now)
        duties.takeVacantDuties(now)
    }

    private fun expireSuspicions(now: Moment) {
        vms.expireSuspicions(now)
        timers.at(now + settings.dispatch.homeSuspicion / 2, ::expireSuspicions)
    }

    private fun handlePeerMessage(from: VmId, message: PeerMessage, now: Moment) {
        if (registration != null && !vms.isListed(from)) stateWatcher.changesMissed(now)
        vms.recordContact(from, now)
        eraIn(message)?.let { store.noteEra(it, now) }
        when (message) {
            is PeerMessage.Reserve -> reserve(from, message, now)
            is PeerMessage.Reserved -> dispatcher.reserved(from, message, now)
            is PeerMessage.Denied -> dispatcher.denied(from, message, now)
            is PeerMessage.Release -> dispatcher.homeSchedulers.release(from, message, now)
            is PeerMessage.Holding -> dispatcher.homeSchedulers.reconcilePermits(from, message, now)
            is PeerMessage.BudgetRequest -> reply(from, budgets.answerRequest(from, message, now))
            is PeerMessage.BudgetReply -> budgets.handleReply(from, message, now)
            is PeerMessage.WaiverRenewal -> reply(from, budgets.answerRenewal(from, message, now))
            is PeerMessage.WaiverReply -> budgets.handleWaiverReply(from, message, now)
            is PeerMessage.RecordUpdate -> adoptRecord(message.record, from, now)
            is PeerMessage.DeclarationUpdate -> adoptDeclaration(message.text, from, now)
            is PeerMessage.Digest -> disseminator.handleDigest(from, message, now)
            is PeerMessage.QuarantineUpdate -> quarantine.adopt(message.suspicions, from, now)
            is PeerMessage.EntriesUpdate -> storeWatchers.forEach { it.adopt(message, now) }
            is PeerMessage.EntriesChanged -> news?.changesReceived(from, message, now)
            is PeerMessage.StoreNews -> news?.newsReceived(from, message, now)
            is PeerMessage.StoreNewsQuery -> news?.queryReceived(from, message, now)
            PeerMessage.Ping -> vms.vm(from)?.let { vms.send(it, PeerMessage.Pong) }
            PeerMessage.Pong, is PeerMessage.NewEra -> Unit
            PeerMessage.Leaving -> peerLeft(from, now)
            is PeerMessage.UpstreamsReached -> reachability.announced(from, message, now)
            is PeerMessage.Heat -> duties.heatReported(message, now)
            is PeerMessage.OutageQuery -> duties.answerOutageQuery(from, message, now)
            is PeerMessage.OutagePromise -> duties.promiseReceived(from, message)
            is PeerMessage.TermRaised -> duties.termRaised(from, message, now)
            is PeerMessage.TermNoted -> duties.termNoted(from, message, now)
            is PeerMessage.Yield -> duties.yieldTo(from, message, now)
            is PeerMessage.Yielded -> duties.yielded(from, message, now)
        }
    }

    /** The era of the store that [message] shows, or null. */
    private fun eraIn(message: PeerMessage): StoreEra? = when (message) {
        is PeerMessage.NewEra -> message.era
        is PeerMessage.Digest -> message.era
        is PeerMessage.EntriesUpdate -> message.era
        is PeerMessage.EntriesChanged -> message.upTo.era
        is PeerMessage.StoreNews -> message.prefixes.maxOfOrNull { it.era }
        is PeerMessage.RecordUpdate -> message.record.term.era
        is PeerMessage.Yield -> message.term.era
        is PeerMessage.TermRaised -> message.term.era
        else -> null
    }

    private fun upstreamChecked(upstream: UpstreamId, state: UpstreamState, now: Moment) {
        reachability.checked(upstream, state, now)
        crashDetector.checked(upstream, state, now)
    }

    private fun reserve(from: VmId, message: PeerMessage.Reserve, now: Moment) {
        dispatcher.homeSchedulers.reserve(from, message, now)
        dispatcher.scheduleSweep(now)
    }

    private fun peerLeft(vm: VmId, now: Moment) {
        vms.markLeaving(vm)
        budgets.coordinatorLeft(vm, now)
    }

    private fun reply(to: VmId, message: PeerMessage?) {
        if (message != null) vms.vm(to)?.let { vms.send(it, message) }
    }

    private fun configure(declaration: Declaration, now: Moment) {
        admission.configure(declaration)
        // Where no rate is to be divided, the list of seats would only cost calls to the store.
        if (declaration.customers.any { it.isLimited }) seats.configure(declaration.entryVms, now)
        budgets.configure(declaration, now)
        inventory.declare(declaration, now)
    }

    /** Applies a changed set of upstreams or zones to the components that use them. */
    private fun applyInventory(declaration: Declaration, now: Moment) {
        reachability.configure(declaration)
        dispatcher.configure(declaration, now)
        duties.configure(declaration, now)
    }

    private fun adoptDeclaration(text: String, source: VmId?, now: Moment) {
        if (!declarations.acceptIfNewer(text, now)) return
        if (news?.isShared == true) news.declarationAdopted(source, now) else disseminator.propagateDeclaration(source)
    }

    private fun adoptRecord(record: OwnershipRecord, source: VmId?, now: Moment) {
        owners.adopt(record) ?: return
        dispatcher.ownersChanged(record.pool, now)
        disseminator.propagateRecord(record, source)
    }

    private fun isReady(now: Moment): Boolean {
        val declaration = declarations.current ?: return false
        val isListed = vms.selfListedSince + settings.listedBeforeReady <= now
        val isRead = storeWatchers.all { it.isRead }
        return !stopping && isListed && isRead && declaration.pools.filter { it.keyed }.all { owners[it.name] != null }
    }

    private fun poolStatus(record: OwnershipRecord): PoolStatus {
        val slotCounts = owners[record.pool]?.slotCounts().orEmpty()
        return PoolStatus(
            pool = record.pool,
            term = record.term,
            version = record.version,
            allocator = record.allocator,
            members = record.members.mapIndexed { index, member ->
                MemberStatus(member.upstream, member.share, slotCounts[index])
            },
        )
    }

    private fun scheduleWake() {
        val next = timers.next ?: return
        if (next >= wakeAt) return
        wakeAt = next
        effects.add(Effect.WakeAt(next))
    }

    private fun storeWatcher(prefix: String, prefixWatchers: Watchers, policy: ReadingPolicy?) = StoreWatcher(
        prefix = prefix,
        store = store,
        watchers = prefixWatchers,
        settings = settings.dissemination,
        timers = timers,
        listener = RollbackFilter(
            prefixes = listOf(StoreKeys.UPSTREAMS, StoreKeys.ZONES_OUT, StoreKeys.VMS),
            grace = settings.dissemination.rollbackGrace,
            timers = timers,
            target = StoreEntryHandler(),
        ),
        effects = effects,
        shared = (sharedEntries + stateEntries).firstOrNull { it.prefix.startsWith(prefix) },
        policy = policy,
        // The registrations of VMs show how large the fleet is, and thus which VMs read the others.
        listsAtStart = prefix == StoreKeys.STATE,
    )

    private inner class StoreEntryHandler : StoreListener {
        override fun snapshot(entries: List<StoreEntry>, now: Moment) {
            val (dutyEntries, others) = entries.partition { dutyPoolOf(it) != null }
            (others + dutyEntries).forEach { entryChanged(it, now) }
        }

        override fun entryChanged(entry: StoreEntry, now: Moment) {
            val key = entry.key.value
            val value = entry.value
            val dutyPool = dutyPoolOf(entry)
            when {
                dutyPool != null -> duties.holderChanged(dutyPool, value?.let(::VmId), entry.revision, now)
                key.startsWith(StoreKeys.VMS) -> registration?.registrationChanged(entry, now)
                key.startsWith(StoreKeys.UPSTREAMS) -> registered(entry, now)
                key.startsWith(StoreKeys.ZONES_OUT) -> zoneChanged(entry, now)
                entry.key == StoreKeys.SEATS -> seats.seatsChanged(entry, now)
                value == null -> Unit
                entry.key == StoreKeys.DECLARATION -> adoptDeclaration(value, null, now)
                key.startsWith(StoreKeys.RECORDS) -> codecs.records.decode(value).onRight { adoptRecord(it, null, now) }
            }
        }

        private fun zoneChanged(entry: StoreEntry, now: Moment) {
            val zone = AvailabilityZone(entry.key.value.removePrefix(StoreKeys.ZONES_OUT))
            effects.add(Effect.StateChanged(StateChange.ZoneOut(zone, entry.value != null)))
            inventory.setZoneOut(zone, entry.value != null, now)
        }

        /** Treats a registration that can't be decoded as missing, so that the upstream is not used. */
        private fun registered(entry: StoreEntry, now: Moment) {
            val id = UpstreamId(entry.key.value.removePrefix(StoreKeys.UPSTREAMS))
            val decoded = entry.value?.let { codecs.registrations.decode(id, it) }
            decoded?.onLeft { error ->
                effects.add(Effect.StateChanged(StateChange.RegistrationUnreadable(id, error.problem)))
            }
            inventory.register(id, decoded?.getOrNull(), now)
        }

        private fun dutyPoolOf(entry: StoreEntry): PoolName? =
            entry.key.value.takeIf { it.startsWith(StoreKeys.DUTIES) }?.removePrefix(StoreKeys.DUTIES)?.let(::PoolName)
    }
}
