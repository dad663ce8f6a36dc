/*
 * How VMs that don't read the store learn of its changes. In each availability zone a few watchers read it. The first
 * of them passes each change on to its zone; the others announce shortly after what they have read, so that a VM which
 * lacks it can ask. Zones watch for themselves, and their first watchers only compare what they have read. A VM without
 * news asks the watchers of its own zone and of others, and at last reads the store itself.
 */
package cicadagauge.dissemination

import cicadagauge.configuration.DeclarationHolder
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.membership.Watchers
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.StateChange
import cicadagauge.node.StoreNewsSettings
import cicadagauge.node.Timers
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PrefixDigest
import cicadagauge.store.ReadingPolicy
import cicadagauge.store.SharedEntries
import cicadagauge.store.StoreClient
import cicadagauge.store.StorePosition
import cicadagauge.store.StoreWatcher
import kotlin.time.Duration

/** Exchanges with other VMs what is read in the store, and decides whether this VM reads it. */
internal class StoreNews(
    private val vms: VmDirectory,
    private val watchers: Watchers,
    private val store: StoreClient,
    private val declarations: DeclarationHolder,
    private val sharedEntries: List<SharedEntries>,
    private val settings: StoreNewsSettings,
    private val timers: Timers,
    private val effects: Effects,
    start: Moment,
) : ReadingPolicy {
    private val role = ReadingRole(settings, start)
    private var sources: List<StoreWatcher> = emptyList()
    private var awaited: Awaited? = null
    private var isAnnouncementDue = false
    private var announcedAt = Moment.PAST
    private var nextQueryAt = Moment.PAST
    private var queries = 0

    init {
        store.onAnswer { now -> if (announcedAt + settings.minInterval <= now) announce(now) }
    }

    override val isReading: Boolean get() = role.isReading

    /** Whether the fleet is so large that news is passed on. */
    val isShared: Boolean get() = !watchers.includesEveryVm()

    override fun isInformed(now: Moment): Boolean = isShared && !role.needsNews(now)

    /** How long ago the store last answered this VM, or a watcher whose news this VM has. */
    fun newsAge(now: Moment): Duration = if (isFresh(now)) now - store.lastAnswerAt else role.newsAge(now)

    /** Whether this VM knows the store's content as it was a short while ago, or reads it itself. */
    fun isCurrent(now: Moment): Boolean = isReading || role.newsAge(now) <= settings.readAfter

    /** Starts to decide, and to ask for news where there is none; [sources] read what is passed on. */
    fun start(sources: List<StoreWatcher>, now: Moment) {
        this.sources = sources
        check(now)
    }

    override fun changed(change: PeerMessage.EntriesChanged, now: Moment) {
        acceptAwaited()
        passOn(change, source = null, now)
    }

    override fun listed(now: Moment) {
        acceptAwaited()
        announceSoon(now)
    }

    /** Passes the declaration in force on to this VM's zone, except to [source], from which it came. */
    fun declarationAdopted(source: VmId?, now: Moment) {
        acceptAwaited()
        declarations.updateMessage()?.let { passOn(it, source, now) }
    }

    /** Applies changes that [from] has passed on. Asks for the earlier ones if they are missing. */
    fun changesReceived(from: VmId, change: PeerMessage.EntriesChanged, now: Moment) {
        val isComplete = sources.all { it.adopt(change, now) }
        if (!isComplete) vms.vm(from)?.let { query(it) }
    }

    /** Handles what [from] has announced: waits for the changes that this VM lacks, and asks for them after a while. */
    fun newsReceived(from: VmId, news: PeerMessage.StoreNews, now: Moment) {
        val readAt = now - news.age
        when {
            lacksAnyOf(news) -> {
                awaited = Awaited(news, readAt)
                timers.at(now + settings.arrivalTime) { askForMissing(from, news, it) }
            }
            knowsExactly(news) -> accept(readAt)
        }
    }

    /**
     * Answers with what [from] lacks, and with this VM's news if it reads the store. Asks in return where [from] knows
     * more.
     */
    fun queryReceived(from: VmId, query: PeerMessage.StoreNewsQuery, now: Moment) {
        val vm = vms.lastKnown(from) ?: return
        if (query.declaration < declarations.version) declarations.updateMessage()?.let { vms.send(vm, it) }
        val known = query.prefixes.associate { it.prefix to it.position }
        sharedEntries.forEach { entries -> known[entries.prefix]?.let(entries::since)?.let { vms.send(vm, it) } }
        if (isFresh(now)) vms.send(vm, news(now))
        if (sharedEntries.any { entries -> known[entries.prefix]?.let { it > entries.latest } ?: false }) query(vm)
    }

    private fun check(now: Moment) {
        acceptAwaited()
        val isChanged = role.decide(watchers.includesSelf(), watchers.includesEveryVm(), now)
        if (isChanged) {
            if (isShared) effects.add(Effect.StateChanged(StateChange.StoreReading(isReading, role.newsAge(now))))
            sources.forEach { it.policyChanged(now) }
        }
        if (isShared && !isFresh(now) && role.needsNews(now) && now >= nextQueryAt) {
            nextQueryAt = now + settings.queryInterval
            queryTargets().forEach(::query)
        }
        timers.at(now + settings.checkInterval, ::check)
    }

    /** Whether this VM reads the store, as far as it can tell; how long ago is another matter. */
    private fun isFresh(now: Moment): Boolean = isReading && store.isReachable && sources.all { it.isCurrent(now) }

    private fun passOn(message: PeerMessage, source: VmId?, now: Moment) {
        if (!isShared || !watchers.includesSelf()) return
        val zoneVms = watchers.rankedInZone()
        if (zoneVms.firstOrNull()?.id == vms.self) {
            zoneVms.filter { it.id != vms.self && it.id != source }.forEach { vms.send(it, message) }
        }
        announceSoon(now)
    }

    private fun announceSoon(now: Moment) {
        if (isAnnouncementDue) return
        isAnnouncementDue = true
        timers.at(now + settings.changeDelay) {
            isAnnouncementDue = false
            announce(it)
        }
    }

    /** Tells this VM's zone, and if this VM is its first watcher those of the other zones, what has been read. */
    private fun announce(now: Moment) {
        if (!isShared || !isFresh(now) || !watchers.includesSelf()) return
        announcedAt = now
        val zoneVms = watchers.rankedInZone()
        val others = if (zoneVms.firstOrNull()?.id == vms.self) watchers.firstOfOtherZones() else emptyList()
        val news = news(now)
        (zoneVms.filter { it.id != vms.self } + others).forEach { vms.send(it, news) }
    }

    private fun askForMissing(from: VmId, news: PeerMessage.StoreNews, now: Moment) {
        if (!lacksAnyOf(news)) return
        if (isReading) sources.forEach { it.changesMissed(now) }
        vms.lastKnown(from)?.let { query(it) }
    }

    private fun acceptAwaited() {
        val news = awaited ?: return
        if (!knowsExactly(news.news)) return
        awaited = null
        accept(news.readAt)
    }

    private fun accept(readAt: Moment) {
        role.newsReceived(readAt)
        if (!isReading) sources.forEach { it.confirmCurrent() }
    }

    private fun lacksAnyOf(news: PeerMessage.StoreNews): Boolean =
        news.declaration > declarations.version || compareWith(news) { own, other -> own < other }.any { it }

    private fun knowsExactly(news: PeerMessage.StoreNews): Boolean =
        news.declaration == declarations.version && compareWith(news) { own, other -> own == other }.all { it }

    private fun <T> compareWith(
        news: PeerMessage.StoreNews,
        comparison: (own: StorePosition, other: StorePosition) -> T,
    ): List<T> {
        val known = news.prefixes.associate { it.prefix to it.position }
        return sharedEntries.mapNotNull { entries -> known[entries.prefix]?.let { comparison(entries.latest, it) } }
    }

    /** The first watchers of this VM's zone, that of another zone, and any VM, which may read the store as well. */
    private fun queryTargets(): List<Vm> {
        queries++
        val own = watchers.rankedInZone().filter { it.id != vms.self }.take(ZONE_QUERIES)
        val remote = watchers.firstOfOtherZones()
        val peers = vms.peers
        return (own + listOfNotNull(remote.rotated(queries), peers.rotated(queries * PEER_STEP))).distinctBy { it.id }
    }

    private fun List<Vm>.rotated(index: Int): Vm? = if (isEmpty()) null else this[index % size]

    private fun query(vm: Vm) = vms.send(vm, PeerMessage.StoreNewsQuery(declarations.version, digests()))

    private fun news(now: Moment) =
        PeerMessage.StoreNews(declarations.version, digests(), age = now - store.lastAnswerAt)

    private fun digests(): List<PrefixDigest> = sharedEntries.map { it.digest }

    /** News that lists more than this VM knew when it arrived; [readAt] is when its sender knew it. */
    private class Awaited(val news: PeerMessage.StoreNews, val readAt: Moment)

    private companion object {
        const val ZONE_QUERIES = 2

        /** Has no factor in common with most numbers of VMs, so that the queries reach all in turn. */
        const val PEER_STEP = 7
    }
}
