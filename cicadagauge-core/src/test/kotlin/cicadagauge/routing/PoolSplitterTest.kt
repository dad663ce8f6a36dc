package cicadagauge.routing

import cicadagauge.declaration.PoolShare
import cicadagauge.declaration.Route
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class PoolSplitterTest :
    FunSpec({
        val a = PoolName("a")
        val b = PoolName("b")

        fun route(vararg weights: Pair<PoolName, Int>) = Route(
            name = RouteName("r"),
            path = "",
            methods = emptySet(),
            pool = a,
            split = weights.map { PoolShare(it.first, it.second) },
        )

        test("each pool gets exactly its share of every hundred requests") {
            val splitter = PoolSplitter()
            val chosen = (1..100).map { splitter.next(route(a to 90, b to 10)) }
            chosen.count { it == b } shouldBe 10
            chosen.take(50).count { it == b } shouldBe 5
        }

        test("new weights apply from the next request on") {
            val splitter = PoolSplitter()
            repeat(7) { splitter.next(route(a to 1, b to 1)) }
            (1..10).map { splitter.next(route(a to 0, b to 1)) }.toSet() shouldBe setOf(b)
        }

        test("a route without a split has one pool") {
            PoolSplitter().next(route()) shouldBe a
        }
    })
