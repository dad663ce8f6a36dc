package cicadagauge.ownership

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.node.Timers
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreLeaseId
import cicadagauge.store.StoreReply
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

/** A lease in a store that answers when the test calls [answer]. */
private class LeaseFixture {
    private val effects = Effects()
    private val store = StoreClient(effects)
    private val timers = Timers()
    private val calls = ArrayDeque<Effect.CallStore>()
    val lease = ProcessLease(store, timers, OwnershipSettings())
    var now = Moment.ZERO + 1_000.milliseconds

    init {
        lease.acquire(now)
        answer()
    }

    fun advanceBy(millis: Int) {
        now += millis.milliseconds
        timers.run(now)
    }

    /** The next call that has no answer yet. */
    fun nextCall(): StoreCall {
        effects.take().forEach { effect ->
            if (effect is Effect.CallStore) calls.addLast(effect)
            if (effect is Effect.CancelStoreCall) calls.removeIf { it.id == effect.id }
        }
        return calls.first().call
    }

    fun answer(lease: Long = 1) {
        nextCall()
        store.replied(calls.removeFirst().id, StoreReply.LeaseHeld(StoreLeaseId(lease)), now)
    }

    fun isValid() = now < lease.validUntil
}

class ProcessLeaseTest :
    FunSpec({
        test("after a suspension the lease is valid only once it has been renewed") {
            val fixture = LeaseFixture()
            fixture.isValid() shouldBe true
            fixture.advanceBy(10)
            fixture.lease.invalidate(fixture.now)
            fixture.isValid() shouldBe false
            fixture.advanceBy(5)
            fixture.answer()
            fixture.isValid() shouldBe true
        }

        test("a renewal that was sent before a suspension does not make the lease valid") {
            val fixture = LeaseFixture()
            fixture.advanceBy(200)
            fixture.advanceBy(1)
            fixture.lease.invalidate(fixture.now)
            fixture.answer()
            fixture.isValid() shouldBe false
            fixture.advanceBy(200)
            fixture.answer()
            fixture.isValid() shouldBe true
        }

        test("in a new era of the store the lease is void, and another one is created and renewed") {
            val fixture = LeaseFixture()
            fixture.advanceBy(200)
            fixture.nextCall() shouldBe StoreCall.RenewLease(StoreLeaseId(1))
            fixture.lease.eraChanged(fixture.now)
            fixture.isValid() shouldBe false
            fixture.nextCall() shouldBe StoreCall.CreateLease(OwnershipSettings().dutyLease)
            fixture.answer(lease = 4)
            fixture.isValid() shouldBe true
            fixture.lease.id shouldBe StoreLeaseId(4)
            fixture.advanceBy(200)
            fixture.nextCall() shouldBe StoreCall.RenewLease(StoreLeaseId(4))
        }
    })
