package cicadagauge.dispatch

import cicadagauge.identity.PoolName
import cicadagauge.node.DispatchSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class RetryBudgetTest :
    FunSpec({
        val settings = DispatchSettings(retryRatio = 0.2, retryBurst = 58)
        val pool = PoolName("p")

        fun takeAll(budget: RetryBudget): Int = generateSequence { budget.tryTake().takeIf { it } }.count()

        test("the VMs together stay within the allowed burst, also if all of them restart") {
            for (vms in 1..20) {
                val taken = List(2 * vms) { takeAll(RetryBudgets(settings) { vms }.of(pool)) }
                taken.sum() shouldBeLessThanOrEqual settings.retryBurst
                taken.min() shouldBeGreaterThan 0
            }
        }

        test("retries stay below the allowed ratio of the requests, counted on the VMs that handle them") {
            val budget = RetryBudgets(settings) { 9 }.of(pool)
            takeAll(budget)
            var retries = 0
            repeat(10_000) {
                budget.recordAdmitted()
                budget.recordSent()
                retries += takeAll(budget)
            }
            retries.toDouble() / 10_000 shouldBeLessThanOrEqual settings.retryRatio
        }

        test("requests to one pool pay for no retries to another") {
            val budgets = RetryBudgets(settings) { 9 }
            takeAll(budgets.of(pool))
            repeat(100) { budgets.of(PoolName("other")).recordSent() }
            budgets.of(pool).tryTake() shouldBe false
        }

        test("a VM of a fleet with more VMs than allowed retries can retry at all") {
            takeAll(RetryBudgets(settings) { 1_000 }.of(pool)) shouldBe 1
        }
    })
