package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Timers
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** A filter in front of a listener that keeps the last values. */
private class FilterFixture {
    private val timers = Timers()
    private var now = Moment.ZERO
    private var revision = 0L
    val values = HashMap<String, String>()
    private val target = object : StoreListener {
        override fun snapshot(entries: List<StoreEntry>, now: Moment) = entries.forEach { entryChanged(it, now) }

        override fun entryChanged(entry: StoreEntry, now: Moment) {
            val value = entry.value
            if (value == null) values -= entry.key.value else values[entry.key.value] = value
        }
    }
    private val filter = RollbackFilter(listOf("a/"), grace = 5.seconds, timers = timers, target = target)

    private fun entry(key: String, value: String?) = StoreEntry(StoreKey(key), value, StoreRevision(++revision))

    fun change(key: String, value: String?) = filter.entryChanged(entry(key, value), now)

    fun rollBack(vararg entries: Pair<String, String?>) =
        filter.rolledBack(entries.map { (key, value) -> entry(key, value) }, now)

    fun pass(seconds: Int) {
        now += seconds.seconds
        timers.run(now)
    }
}

class RollbackFilterTest :
    FunSpec({
        fun filled() = FilterFixture().apply {
            change("a/1", "draining")
            change("a/2", "ready")
            change("a/gone", "ready")
            change("a/gone", null)
            change("b/1", "new")
        }

        test("what the copy lacks, has in an older form or has again stays as it was for the time of grace") {
            val fixture = filled()
            fixture.rollBack("a/1" to "ready", "a/2" to null, "a/gone" to "ready", "a/3" to "ready")
            fixture.pass(4)
            fixture.values shouldBe
                mapOf("a/1" to "draining", "a/2" to "ready", "a/3" to "ready", "b/1" to "new")
            fixture.pass(1)
            fixture.values shouldBe mapOf("a/1" to "ready", "a/gone" to "ready", "a/3" to "ready", "b/1" to "new")
        }

        test("what is written in the new era counts at once and is not undone") {
            val fixture = filled()
            fixture.rollBack("a/1" to "ready", "a/2" to null)
            fixture.change("a/1", "leaving")
            fixture.change("a/2", "ready")
            fixture.pass(9)
            fixture.values shouldBe mapOf("a/1" to "leaving", "a/2" to "ready", "b/1" to "new")
        }

        test("a second older copy replaces what is kept from the first") {
            val fixture = filled()
            fixture.rollBack("a/1" to "ready", "a/2" to null)
            fixture.pass(3)
            fixture.rollBack("a/1" to "draining", "a/2" to null)
            fixture.pass(3)
            fixture.values["a/2"] shouldBe "ready"
            fixture.pass(2)
            fixture.values shouldBe mapOf("a/1" to "draining", "b/1" to "new")
        }

        test("other keys follow the store") {
            val fixture = filled()
            fixture.rollBack("b/1" to "old")
            fixture.values["b/1"] shouldBe "old"
        }
    })
