package cicadagauge.gateway.memory

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private class TestConnection(override var evictionRank: EvictionRank?) : Evictable {
    var isEvicted = false

    override fun evict() {
        isEvicted = true
    }
}

class ConnectionTableTest :
    FunSpec({
        test("a new connection takes the place of the idle one that was read least recently") {
            val table = ConnectionTable<TestConnection>(capacity = 3)
            val receiving = TestConnection(EvictionRank.Receiving)
            val idle = List(2) { TestConnection(EvictionRank.BetweenRequests) }
            (listOf(receiving) + idle).forEach { table.add(it) shouldBe true }
            table.touch(idle[0])
            table.add(TestConnection(null)) shouldBe true
            idle.map { it.isEvicted } shouldContainExactly listOf(false, true)
            receiving.isEvicted shouldBe false
        }

        test("an ordinary connection gets in among slow senders, and none where all must stay") {
            val table = ConnectionTable<TestConnection>(capacity = 50)
            val slow = List(200) { TestConnection(EvictionRank.Receiving) }
            slow.all { table.add(it) } shouldBe true
            table.add(TestConnection(EvictionRank.BetweenRequests)) shouldBe true
            table.all.size shouldBe 50
            table.all.forEach { it.evictionRank = null }
            table.add(TestConnection(null)) shouldBe false
        }
    })
