package cicadagauge.standins.store

import cicadagauge.identity.Moment
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreLeaseId
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class StoreModelTest :
    FunSpec({
        val key = StoreKey("a/b")

        fun StoreModel.execute(call: StoreCall, now: Moment = Moment.ZERO): StoreReply? {
            var reply: StoreReply? = null
            handle(call, now) { reply = it }
            return reply
        }

        test("a write takes effect only at the expected revision") {
            val store = StoreModel()
            store.execute(StoreCall.Put(key, "1", StoreRevision.ABSENT)) shouldBe StoreReply.Written(StoreRevision(1))
            val conflict = StoreReply.Conflict(StoreEntry(key, "1", StoreRevision(1)))
            store.execute(StoreCall.Put(key, "2", StoreRevision.ABSENT)) shouldBe conflict
            store.execute(StoreCall.Delete(key, StoreRevision(7))) shouldBe conflict
            store.execute(StoreCall.Put(key, "2", StoreRevision(1))) shouldBe StoreReply.Written(StoreRevision(2))
        }

        test("a value is deleted when its lease lapses, and a lapsed lease can't be renewed or used") {
            val store = StoreModel()
            store.execute(StoreCall.CreateLease(1.seconds)) shouldBe StoreReply.LeaseHeld(StoreLeaseId(1))
            store.execute(StoreCall.Put(key, "1", StoreRevision.ABSENT, StoreLeaseId(1)))
            store.execute(StoreCall.RenewLease(StoreLeaseId(1)), Moment.ZERO + 0.9.seconds) shouldBe
                StoreReply.LeaseHeld(StoreLeaseId(1))
            store.execute(StoreCall.Get(key), Moment.ZERO + 1.8.seconds) shouldBe
                StoreReply.Found(StoreEntry(key, "1", StoreRevision(1)))
            store.execute(StoreCall.Get(key), Moment.ZERO + 2.seconds) shouldBe
                StoreReply.Found(StoreEntry(key, null, StoreRevision.ABSENT))
            store.execute(StoreCall.RenewLease(StoreLeaseId(1)), Moment.ZERO + 2.seconds) shouldBe
                StoreReply.LeaseLapsed
            store.execute(StoreCall.Put(key, "2", StoreRevision.ABSENT, StoreLeaseId(1))) shouldBe
                StoreReply.LeaseLapsed
        }

        test("a watch is answered at a change under its prefix, deletions included, or when its wait ends") {
            val store = StoreModel()
            var received: StoreReply? = null
            store.handle(StoreCall.Watch("a/", StoreRevision.ABSENT, 5.seconds), Moment.ZERO) { received = it }
            store.execute(StoreCall.Put(StoreKey("z"), "1", StoreRevision.ABSENT))
            received shouldBe null
            store.execute(StoreCall.Put(key, "1", StoreRevision.ABSENT))
            received shouldBe StoreReply.Changes(listOf(StoreEntry(key, "1", StoreRevision(2))), StoreRevision(2))
            store.execute(StoreCall.Delete(key, StoreRevision(2)))
            store.execute(StoreCall.Watch("a/", StoreRevision(2), Duration.ZERO)) shouldBe
                StoreReply.Changes(listOf(StoreEntry(key, null, StoreRevision(3))), StoreRevision(3))
            store.handle(StoreCall.Watch("a/", StoreRevision(3), 5.seconds), Moment.ZERO) { received = it }
            store.expire(Moment.ZERO + 5.seconds)
            received shouldBe StoreReply.Changes(emptyList(), StoreRevision(3))
        }

        test("a store that comes back from a copy has lost what was written since, and gives it out again") {
            val store = StoreModel()
            store.execute(StoreCall.CreateLease(2.seconds))
            store.execute(StoreCall.Put(key, "1", StoreRevision.ABSENT, StoreLeaseId(1)))
            val copy = store.copy(Moment.ZERO + 1.seconds)
            store.execute(StoreCall.Put(key, "2", StoreRevision(1), StoreLeaseId(1)), Moment.ZERO + 1.seconds)
            store.execute(StoreCall.CreateLease(2.seconds), Moment.ZERO + 1.seconds)
            store.comeBackFrom(copy, Moment.ZERO + 9.seconds)

            store.era shouldBe StoreEra(1)
            store.execute(StoreCall.Get(key), Moment.ZERO + 9.seconds) shouldBe
                StoreReply.Found(StoreEntry(key, "1", StoreRevision(1)))
            store.execute(StoreCall.Watch("a/", StoreRevision(2), 1.seconds), Moment.ZERO + 9.seconds) shouldBe
                StoreReply.HistoryLost
            store.execute(StoreCall.CreateLease(2.seconds), Moment.ZERO + 9.seconds) shouldBe
                StoreReply.LeaseHeld(StoreLeaseId(2))
            store.execute(StoreCall.Put(key, "3", StoreRevision(1)), Moment.ZERO + 9.seconds) shouldBe
                StoreReply.Written(StoreRevision(2))
        }

        test("a lease of the copy ends when the time that it had left is over") {
            val store = StoreModel()
            store.execute(StoreCall.CreateLease(2.seconds))
            val copy = store.copy(Moment.ZERO + 1.seconds)
            store.comeBackFrom(copy, Moment.ZERO + 9.seconds)
            store.execute(StoreCall.RenewLease(StoreLeaseId(1)), Moment.ZERO + 10.seconds) shouldBe
                StoreReply.LeaseLapsed
        }

        test("a watch that was pending when the store came back gets no answer") {
            val store = StoreModel()
            var received: StoreReply? = null
            store.handle(StoreCall.Watch("a/", StoreRevision.ABSENT, 5.seconds), Moment.ZERO) { received = it }
            store.comeBackFrom(store.copy(Moment.ZERO), Moment.ZERO)
            store.execute(StoreCall.Put(key, "1", StoreRevision.ABSENT))
            received shouldBe null
        }
    })
