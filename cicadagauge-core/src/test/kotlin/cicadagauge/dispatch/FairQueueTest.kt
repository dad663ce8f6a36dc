package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.CustomerName
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private data class TestItem(
    override val customer: CustomerName,
    override val requestClass: RequestClass,
    val number: Int,
) : FairQueue.Item

class FairQueueTest :
    FunSpec({
        val large = CustomerName("large")
        val small = CustomerName("small")

        fun FairQueue<TestItem>.addAll(
            customer: CustomerName,
            count: Int,
            requestClass: RequestClass = RequestClass.Normal,
        ) = (1..count).forEach { add(TestItem(customer, requestClass, it)) }

        test("customers are served round-robin, whatever their backlog") {
            val queue = FairQueue<TestItem>()
            queue.addAll(large, 100)
            queue.countAhead(RequestClass.Normal, small) shouldBe 1
            queue.addAll(small, 2)
            val first = List(4) { queue.poll()?.customer }
            first shouldBe listOf(large, small, large, small)
        }

        test("a less urgent request is served after every eight urgent ones") {
            val queue = FairQueue<TestItem>()
            queue.addAll(large, 20, RequestClass.Urgent)
            queue.addAll(large, 20, RequestClass.Bulk)
            val classes = List(18) { queue.poll()?.requestClass }
            classes.count { it == RequestClass.Bulk } shouldBe 2
            classes.first() shouldBe RequestClass.Urgent
        }

        test("removed items are not served and no longer counted") {
            val queue = FairQueue<TestItem>()
            queue.addAll(large, 3)
            queue.removeIf { it.number == 2 }.size shouldBe 1
            queue.countOf(large) shouldBe 2
            queue.drain().map { it.number } shouldBe listOf(1, 3)
            queue.size shouldBe 0
            queue.poll() shouldBe null
        }
    })
