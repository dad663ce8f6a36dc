package cicadagauge.admission

import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.BudgetSettings
import cicadagauge.peer.PeerMessage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The budget of a VM without a portion of its own, so that all its tokens are borrowed. */
private class BudgetFixture(hasSeat: Boolean = false) {
    val settings = BudgetSettings()
    val near = VmId("near")
    val other = VmId("other")
    private val customer = CustomerName("customer-1")
    val portion = Portion(ratePerSecond = 100.0, burst = 100.0)
    private val usableFrom = if (hasSeat) Moment.ZERO else Moment.FUTURE
    val budget =
        CustomerBudget(customer, portion, settings, RoundTripTimes(settings), { usableFrom }, Moment.ZERO)

    fun request(to: VmId, at: Duration, leave: Boolean = false): PeerMessage.BudgetRequest =
        budget.nextRequest(to, waiting = 2, leave = leave, now = Moment.ZERO + at)

    /** Delivers the reply of [from] that lends [tokens], and returns whether it counted. */
    fun reply(
        from: VmId,
        request: PeerMessage.BudgetRequest,
        at: Duration,
        tokens: Int = 0,
        released: Boolean = false,
    ): Boolean {
        val now = Moment.ZERO + at
        return budget.handleReply(from, PeerMessage.BudgetReply(customer, request.sequence, now, tokens, released), now)
    }

    /** Takes all tokens that there are, and returns their number. */
    fun takeAll(at: Duration): Int = generateSequence { budget.tryTake(Moment.ZERO + at).takeIf { it } }.count()
}

class CustomerBudgetTest :
    FunSpec({
        test("a reply that comes after the next request still brings its tokens, once") {
            with(BudgetFixture()) {
                val first = request(near, at = 0.milliseconds)
                request(other, at = 60.milliseconds)
                reply(near, first, at = 80.milliseconds, tokens = 2) shouldBe true
                reply(near, first, at = 90.milliseconds, tokens = 2) shouldBe false
                takeAll(at = 100.milliseconds) shouldBe 2
            }
        }

        test("tokens of a late reply live as long as those of an early one, counted from the request") {
            with(BudgetFixture()) {
                val first = request(near, at = 0.milliseconds)
                reply(near, first, at = 150.milliseconds, tokens = 2)
                takeAll(at = settings.maxLoanLifetime) shouldBe 0
            }
        }

        test("a late reply without tokens doesn't refuse requests that wait for the reply to a newer one") {
            with(BudgetFixture()) {
                val first = request(near, at = 0.milliseconds)
                request(near, at = 60.milliseconds)
                reply(near, first, at = 80.milliseconds, tokens = 0)
                budget.isUsedUp shouldBe false
            }
        }

        test("tokens that were on their way while the clock may have stopped are not used") {
            with(BudgetFixture()) {
                val first = request(near, at = 0.milliseconds)
                budget.dropLoans()
                reply(near, first, at = 20.milliseconds, tokens = 2) shouldBe false
                takeAll(at = 20.milliseconds) shouldBe 0
            }
        }

        test("a late release doesn't give back a portion that was waived again") {
            with(BudgetFixture(hasSeat = true)) {
                reply(near, request(near, at = 0.milliseconds), at = 1.milliseconds)
                request(near, at = 2.milliseconds)
                val leaving = request(near, at = 60.milliseconds, leave = true)
                request(near, at = 120.milliseconds)
                reply(near, leaving, at = 130.milliseconds, released = true)
                budget.waivedTo shouldBe near
                takeAll(at = 400.milliseconds) shouldBe 0
            }
        }

        test("tokens that the own portion gave after a waiver ran out don't accrue a second time") {
            with(BudgetFixture(hasSeat = true)) {
                reply(near, request(near, at = 0.milliseconds), at = 1.milliseconds)
                request(near, at = 2.milliseconds)
                val waiverEnd = 1.milliseconds + settings.waiver * (1 + 2 * settings.clockDrift)
                val taken = takeAll(at = 1_000.milliseconds)
                request(near, at = 1_001.milliseconds)
                val accrued = (1_002.milliseconds - waiverEnd) * portion.ratePerSecond
                taken + takeAll(at = 1_002.milliseconds) shouldBe accrued.inWholeSeconds.toInt()
            }
        }

        test("no portion is waived to a coordinator whose answers take longer than its loans live") {
            with(BudgetFixture(hasSeat = true)) {
                val roundTrip = settings.maxLoanLifetime + 10.milliseconds
                reply(near, request(near, at = 0.milliseconds), at = roundTrip)
                request(near, at = roundTrip * 2).stamp.shouldBeNull()
            }
            with(BudgetFixture(hasSeat = true)) {
                reply(near, request(near, at = 0.milliseconds), at = 1.milliseconds)
                request(near, at = 100.milliseconds).stamp shouldNotBe null
            }
        }

        test("the time to wait for an answer follows the round trips, between its bounds") {
            val settings = BudgetSettings()
            val vm = VmId("near")
            val times = RoundTripTimes(settings)
            repeat(50) { times.record(vm, 1.milliseconds) }
            times.answerTimeout(vm) shouldBe settings.answerTimeout
            repeat(50) { times.record(vm, 90.milliseconds) }
            (times.answerTimeout(vm) > 90.milliseconds) shouldBe true
            repeat(50) { times.record(vm, 900.milliseconds) }
            times.answerTimeout(vm) shouldBe settings.maxLoanLifetime
        }
    })
