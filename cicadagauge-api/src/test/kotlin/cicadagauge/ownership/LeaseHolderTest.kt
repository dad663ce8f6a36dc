package cicadagauge.ownership

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LeaseHolderTest :
    FunSpec({
        val pool = PoolName("pool")
        val upstream = UpstreamId("me")
        val run = Incarnation("run-1")
        val both = SlotSet.of(listOf(Slot(1), Slot(2)))
        val one = SlotSet.of(listOf(Slot(1)))

        fun lease(
            term: Long,
            version: Long,
            slots: SlotSet?,
            expiresAt: Long,
            phase: GrantPhase = GrantPhase.Full,
            incarnation: Incarnation = run,
        ) = GrantOrder.Lease(
            pool = pool,
            upstream = upstream,
            term = Term(term),
            incarnation = incarnation,
            step = GrantStep(Term(term), RecordVersion(version), phase),
            content = slots?.let { GrantContent(it, emptyList()) },
            expiresAt = Moment(expiresAt),
        )

        test("a request runs only under a valid lease on its slot") {
            val holder = LeaseHolder(pool, upstream, run)
            holder.canStart(Slot(1), Moment(0)) shouldBe false
            holder.handle(lease(term = 1, version = 1, slots = one, expiresAt = 10), Moment(0)).accepted shouldBe true
            holder.canStart(Slot(1), Moment(9)) shouldBe true
            holder.canStart(Slot(2), Moment(9)) shouldBe false
            holder.canStart(Slot(1), Moment(10)) shouldBe false
        }

        test("orders of a lower term, an earlier step, another run or unknown content are refused") {
            val holder = LeaseHolder(pool, upstream, run)
            holder.handle(lease(term = 2, version = 5, slots = one, expiresAt = 10), Moment(0))
            val refused = listOf(
                lease(term = 1, version = 9, slots = both, expiresAt = 99),
                lease(term = 2, version = 4, slots = both, expiresAt = 99),
                lease(term = 2, version = 5, slots = both, expiresAt = 99, phase = GrantPhase.Shrink),
                lease(term = 2, version = 6, slots = both, expiresAt = 99, incarnation = Incarnation("run-0")),
                lease(term = 2, version = 6, slots = null, expiresAt = 99),
                GrantOrder.Claim(pool, upstream, Term(1)),
            )
            for (order in refused) holder.handle(order, Moment(1)).accepted shouldBe false
            holder.canStart(Slot(2), Moment(1)) shouldBe false
            holder.canStart(Slot(1), Moment(11)) shouldBe false
        }

        test("a claim raises the term and does not extend the lease") {
            val holder = LeaseHolder(pool, upstream, run)
            holder.handle(lease(term = 1, version = 1, slots = one, expiresAt = 10), Moment(0))
            val report = holder.handle(GrantOrder.Claim(pool, upstream, Term(2)), Moment(1))
            report.accepted shouldBe true
            report.leaseValid shouldBe true
            report.slots shouldBe one
            holder.handle(lease(term = 1, version = 1, slots = null, expiresAt = 99), Moment(2)).accepted shouldBe false
            holder.canStart(Slot(1), Moment(10)) shouldBe false
        }

        test("a step that revokes a slot is completed only when no request for it runs") {
            val holder = LeaseHolder(pool, upstream, run)
            holder.handle(lease(term = 1, version = 1, slots = both, expiresAt = 10), Moment(0))
            val running = holder.begin(Slot(2))
            val report = holder.handle(
                lease(term = 1, version = 2, slots = one, expiresAt = 10, GrantPhase.Shrink),
                Moment(1),
            )
            report.step.version shouldBe RecordVersion(1)
            report.slots shouldBe both
            holder.canStart(Slot(2), Moment(1)) shouldBe false
            holder.canCommit(running, Moment(1)) shouldBe true
            holder.end(running)
            holder.report(accepted = true, now = Moment(2)).step.version shouldBe RecordVersion(2)
        }

        test("a request whose lease expires while it runs takes no effect, even under a later lease") {
            val holder = LeaseHolder(pool, upstream, run)
            holder.handle(lease(term = 1, version = 1, slots = one, expiresAt = 10), Moment(0))
            val running = holder.begin(Slot(1))
            holder.canCommit(running, Moment(10)) shouldBe false
            holder.handle(lease(term = 1, version = 1, slots = null, expiresAt = 30), Moment(20))
            holder.canStart(Slot(1), Moment(21)) shouldBe true
            holder.canCommit(running, Moment(21)) shouldBe false
        }
    })
