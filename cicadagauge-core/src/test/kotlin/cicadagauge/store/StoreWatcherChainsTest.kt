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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val WATCHED = "records/"

private fun change(revision: Long) = StoreReply.Changes(
    listOf(StoreEntry(StoreKey(WATCHED + "a"), "$revision", StoreRevision(revision))),
    StoreRevision(revision),
)

/** A watcher whose unanswered calls are all kept. */
private class ChainFixture {
    private val effects = Effects()
    private val store = StoreClient(effects)
    private val timers = Timers()
    val vms = VmDirectory(VmId("vm"), AvailabilityZone("a"), effects)
    private var now = Moment.ZERO
    private val open = LinkedHashMap<StoreCallId, StoreCall>()
    var deliveries = 0
    private val listener = object : StoreListener {
        override fun snapshot(entries: List<StoreEntry>, now: Moment) = Unit

        override fun entryChanged(entry: StoreEntry, now: Moment) {
            deliveries++
        }
    }
    private val watcher = StoreWatcher(
        prefix = WATCHED,
        store = store,
        watchers = Watchers(vms, perZone = 9),
        settings = DisseminationSettings(),
        timers = timers,
        listener = listener,
        effects = effects,
    )

    init {
        list("vm")
        watcher.start(now)
        drain()
        answer(open.keys.single(), StoreReply.Listed(emptyList(), StoreRevision(5)))
        pass(1.seconds)
    }

    fun list(vararg names: String) =
        vms.update(names.map { Vm(VmId(it), Address(it, 1), Address(it, 1), vms.zone) }, now)

    fun pass(duration: Duration) {
        now += duration
        timers.run(now)
        drain()
    }

    fun drain() = effects.take().forEach {
        if (it is Effect.CallStore) open[it.id] = it.call
        if (it is Effect.CancelStoreCall) open -= it.id
    }

    fun answer(id: StoreCallId, reply: StoreReply) {
        open -= id
        store.replied(id, reply, now)
        drain()
    }

    fun answerOther(reply: StoreReply) {
        val id = store.call(StoreCall.Get(StoreKey("other"))) { _, _ -> }
        drain()
        answer(id, reply)
    }

    fun openCalls(): List<StoreCall> = open.values.toList()

    fun newest(): StoreCallId = open.keys.last()

    fun oldest(): StoreCallId = open.keys.first()
}

class StoreWatcherChainsTest :
    FunSpec({
        test("one watch is pending after the pending watch itself shows the store's return with changes") {
            val watched = ChainFixture()
            watched.answerOther(StoreReply.Unavailable)
            watched.answer(watched.oldest(), change(6))
            watched.pass(1.seconds)
            watched.openCalls() shouldBe listOf(StoreCall.Watch(WATCHED, StoreRevision(6), 1_500.milliseconds))
        }

        test("one watch is pending after the pending watch itself shows the store's return without changes") {
            val watched = ChainFixture()
            watched.answerOther(StoreReply.Unavailable)
            watched.answer(watched.oldest(), StoreReply.Changes(emptyList(), StoreRevision(5)))
            watched.pass(1.seconds)
            watched.openCalls().size shouldBe 1
        }

        test("one call is pending after the pending watch itself shows the store's return with a lost history") {
            val watched = ChainFixture()
            watched.answerOther(StoreReply.Unavailable)
            watched.answer(watched.oldest(), StoreReply.HistoryLost)
            watched.pass(1.seconds)
            watched.openCalls() shouldBe listOf(StoreCall.List(WATCHED))
        }

        test("the number of pending watches does not grow with the number of the store's returns") {
            val watched = ChainFixture()
            repeat(10) {
                watched.answerOther(StoreReply.Unavailable)
                watched.answer(watched.newest(), StoreReply.Changes(emptyList(), StoreRevision(5)))
                watched.pass(1.seconds)
            }
            watched.openCalls().size shouldBe 1
        }

        test("a return twice in quick succession leaves one watch") {
            val watched = ChainFixture()
            repeat(2) {
                watched.answerOther(StoreReply.Unavailable)
                watched.answerOther(StoreReply.Found(StoreEntry(StoreKey("other"), null, StoreRevision.ABSENT)))
            }
            watched.pass(1.seconds)
            watched.openCalls().size shouldBe 1
        }

        test("a return during the pause after changes leaves one watch") {
            val watched = ChainFixture()
            watched.answer(watched.oldest(), change(6))
            watched.answerOther(StoreReply.Unavailable)
            watched.answerOther(StoreReply.Found(StoreEntry(StoreKey("other"), null, StoreRevision.ABSENT)))
            watched.pass(1.seconds)
            watched.openCalls().size shouldBe 1
        }

        test("a VM that becomes the first watcher has a watch with the first watcher's wait") {
            val first = (1..1_000).map { "vm-$it" }.first { name ->
                ChainFixture().run {
                    list("vm", name)
                    vms.ranked("watch").first().id.value == name
                }
            }
            val watched = ChainFixture()
            watched.list("vm", first)
            watched.answer(watched.oldest(), StoreReply.Changes(emptyList(), StoreRevision(5)))
            watched.openCalls() shouldBe listOf(StoreCall.Watch(WATCHED, StoreRevision(5), 10.seconds))
            watched.list("vm")
            watched.pass(3.seconds)
            watched.openCalls() shouldBe listOf(StoreCall.Watch(WATCHED, StoreRevision(5), 1_500.milliseconds))
        }
    })
