package cicadagauge.store

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.membership.Watchers
import cicadagauge.node.DisseminationSettings
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.Timers
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val PREFIX = "upstreams/"

private fun entry(name: String, value: String?, revision: Long) =
    StoreEntry(StoreKey(PREFIX + name), value, StoreRevision(revision))

/** A watcher with a store whose replies are scripted by the test. */
private class WatcherFixture {
    private val effects = Effects()
    private val store = StoreClient(effects)
    private val timers = Timers()
    private val vms = VmDirectory(VmId("vm"), AvailabilityZone("a"), effects)
    private var now = Moment.ZERO
    private var pendingCalls = ArrayDeque<Effect.CallStore>()
    val values = HashMap<String, String>()
    private val listener = object : StoreListener {
        override fun snapshot(entries: List<StoreEntry>, now: Moment) = entries.forEach { entryChanged(it, now) }

        override fun entryChanged(entry: StoreEntry, now: Moment) {
            val name = entry.key.value.removePrefix(PREFIX)
            val value = entry.value
            if (value == null) values -= name else values[name] = value
        }
    }
    val watcher = StoreWatcher(
        prefix = PREFIX,
        store = store,
        watchers = Watchers(vms, perZone = 1),
        settings = DisseminationSettings(),
        timers = timers,
        listener = listener,
        effects = effects,
        shared = SharedEntries(PREFIX),
    )

    init {
        vms.update(listOf(Vm(vms.self, Address("vm", 1), Address("vm", 1), vms.zone)), now)
        store.onNewEra { _, at -> watcher.eraChanged(at) }
        watcher.start(now)
    }

    /** The watcher's next call to the store. */
    fun nextCall(): StoreCall {
        now += 1.seconds
        timers.run(now)
        effects.take().filterIsInstance<Effect.CallStore>().forEach { pendingCalls.addLast(it) }
        return pendingCalls.first().call
    }

    /** Sends [other] the entries that it lacks, as an anti-entropy exchange does. */
    fun sendUpdateTo(other: WatcherFixture) {
        watcher.shared!!.since(other.watcher.shared!!.latest)?.let { other.watcher.adopt(it, now) }
    }

    /** Makes another call, which gets [reply], and returns the ids of the calls that are cancelled then. */
    fun answerOtherCall(reply: StoreReply): List<StoreCallId> {
        nextCall()
        store.call(StoreCall.Get(StoreKey("other"))) { _, _ -> }
        val other = effects.take().filterIsInstance<Effect.CallStore>().single()
        store.replied(other.id, reply, now)
        val followUps = effects.take()
        followUps.filterIsInstance<Effect.CallStore>().forEach { pendingCalls.addLast(it) }
        val cancelled = followUps.filterIsInstance<Effect.CancelStoreCall>().map { it.id }
        pendingCalls.removeIf { it.id in cancelled }
        return cancelled
    }

    fun answer(reply: StoreReply, era: Long? = null) {
        nextCall()
        store.replied(pendingCalls.removeFirst().id, reply, now, era?.let(::StoreEra))
    }

    /** Answers the pending watch from the store's era [era], and the list that follows with [entries]. */
    fun comeBack(era: Long, vararg entries: StoreEntry) {
        answer(StoreReply.Changes(listOf(entry("late", "1", 8)), StoreRevision(8)), era)
        nextCall() shouldBe StoreCall.List(PREFIX)
        answer(StoreReply.Listed(entries.toList(), entries.maxOf { it.revision }), era)
    }
}

class StoreWatcherTest :
    FunSpec({
        fun listed() = WatcherFixture().apply {
            nextCall() shouldBe StoreCall.List(PREFIX)
            answer(StoreReply.Listed(listOf(entry("a", "1", 3), entry("b", "1", 4)), StoreRevision(5)))
        }

        test("existing entries are read first, and changes are watched from that revision on") {
            val watched = listed()
            watched.values shouldBe mapOf("a" to "1", "b" to "1")
            (watched.nextCall() as StoreCall.Watch).after shouldBe StoreRevision(5)
            watched.answer(StoreReply.Changes(listOf(entry("a", "2", 6), entry("b", null, 7)), StoreRevision(7)))
            watched.values shouldBe mapOf("a" to "2")
            (watched.nextCall() as StoreCall.Watch).after shouldBe StoreRevision(7)
        }

        test("where the history is lost all entries are read again, and missing ones count as deleted") {
            val watched = listed()
            watched.answer(StoreReply.HistoryLost)
            watched.nextCall() shouldBe StoreCall.List(PREFIX)
            watched.answer(StoreReply.Listed(listOf(entry("b", "2", 9)), StoreRevision(9)))
            watched.values shouldBe mapOf("b" to "2")
        }

        test("a watch that gets no answer is repeated from the same revision") {
            val watched = listed()
            watched.answer(StoreReply.Unavailable)
            (watched.nextCall() as StoreCall.Watch).after shouldBe StoreRevision(5)
            watched.values shouldBe mapOf("a" to "1", "b" to "1")
        }

        test("a watch that was sent during an outage of the store is replaced when the store answers again") {
            val watched = listed()
            watched.nextCall()
            watched.answerOtherCall(StoreReply.Unavailable) shouldBe emptyList()
            watched.answerOtherCall(StoreReply.Found(entry("other", null, 0))).size shouldBe 1
            (watched.nextCall() as StoreCall.Watch).after shouldBe StoreRevision(5)
            watched.answer(StoreReply.Changes(listOf(entry("a", "2", 6)), StoreRevision(6)))
            watched.values shouldBe mapOf("a" to "2", "b" to "1")
        }

        test("a watch is not replaced while the store answers other calls") {
            val watched = listed()
            watched.nextCall()
            watched.answerOtherCall(StoreReply.Found(entry("other", null, 0))) shouldBe emptyList()
        }

        test("a VM that can not reach the store learns of added, changed and deleted entries from a peer") {
            val reader = listed()
            val disconnected = listed()
            disconnected.answer(StoreReply.Unavailable)
            val changes = listOf(entry("c", "cold", 6), entry("a", "draining", 7), entry("b", null, 8))
            reader.answer(StoreReply.Changes(changes, StoreRevision(8)))
            reader.sendUpdateTo(disconnected)
            disconnected.values shouldBe mapOf("a" to "draining", "c" to "cold")
        }

        test("older changes from the store do not undo an update from a peer") {
            val reader = listed()
            val disconnected = listed()
            disconnected.nextCall()
            reader.answer(StoreReply.Changes(listOf(entry("c", "1", 6), entry("c", null, 7)), StoreRevision(7)))
            reader.answer(StoreReply.Changes(listOf(entry("a", "2", 8)), StoreRevision(8)))
            reader.sendUpdateTo(disconnected)
            disconnected.answer(StoreReply.Changes(listOf(entry("c", "1", 6), entry("d", "1", 9)), StoreRevision(9)))
            disconnected.values shouldBe mapOf("a" to "2", "b" to "1", "d" to "1")
            disconnected.sendUpdateTo(reader)
            reader.values shouldBe disconnected.values
        }

        test("an update from a peer that knows less changes nothing") {
            val reader = listed()
            val disconnected = listed()
            reader.answer(StoreReply.Changes(listOf(entry("a", "2", 6)), StoreRevision(6)))
            disconnected.sendUpdateTo(reader)
            reader.values shouldBe mapOf("a" to "2", "b" to "1")
        }

        test("all entries are read again in a new era, and nothing else counts of the reply that showed it") {
            val watched = listed()
            watched.comeBack(era = 1, entry("a", "0", 2), entry("c", "1", 4))
            watched.values shouldBe mapOf("a" to "0", "c" to "1")
            (watched.nextCall() as StoreCall.Watch).after shouldBe StoreRevision(4)
        }

        test("entries of a later era replace those of an earlier one, whatever their revisions, and not the reverse") {
            val reader = listed()
            val disconnected = listed()
            disconnected.answer(StoreReply.Changes(listOf(entry("a", "9", 9)), StoreRevision(9)))
            reader.comeBack(era = 1, entry("a", "0", 2))
            disconnected.sendUpdateTo(reader)
            reader.values shouldBe mapOf("a" to "0")
            reader.sendUpdateTo(disconnected)
            disconnected.values shouldBe mapOf("a" to "0")
        }

        test("all entries are read again where the store reports a lower revision than before") {
            val watched = listed()
            watched.answer(StoreReply.Changes(emptyList(), StoreRevision(2)))
            watched.nextCall() shouldBe StoreCall.List(PREFIX)
        }
    })
