package cicadagauge.store

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private class ClientFixture {
    private val effects = Effects()
    val store = StoreClient(effects)
    val changes = ArrayList<Pair<StoreEra, StoreEra>>()

    init {
        store.onNewEra { previous, _ -> changes += previous to store.era }
    }

    /** Makes a call and returns a function that answers it and returns what its caller gets. */
    fun call(): (StoreReply, Long?) -> StoreReply? {
        var received: StoreReply? = null
        store.call(StoreCall.Get(StoreKey("k"))) { reply, _ -> received = reply }
        val id = effects.take().filterIsInstance<Effect.CallStore>().single().id
        return { reply, era ->
            store.replied(id, reply, Moment.ZERO, era?.let(::StoreEra))
            received
        }
    }
}

class StoreClientTest :
    FunSpec({
        val written = StoreReply.Written(StoreRevision(7))

        test("the first era that is seen is no change, and neither are replies that tell none") {
            val fixture = ClientFixture()
            fixture.call()(written, 3) shouldBe written
            fixture.call()(written, null) shouldBe written
            fixture.call()(StoreReply.Unavailable, null) shouldBe StoreReply.Unavailable
            fixture.changes shouldBe emptyList()
            fixture.store.era shouldBe StoreEra(3)
        }

        test("a store that tells no era stays in the first one") {
            val fixture = ClientFixture()
            fixture.call()(written, null) shouldBe written
            fixture.store.era shouldBe StoreEra.FIRST
            fixture.call()(written, 1) shouldBe StoreReply.Unavailable
            fixture.changes shouldBe listOf(StoreEra.FIRST to StoreEra(1))
            fixture.call()(written, 1) shouldBe written
        }

        test("a new era is told once, also by a reply without a result") {
            val fixture = ClientFixture()
            fixture.call()(written, 3)
            fixture.call()(StoreReply.Unavailable, 4)
            fixture.call()(written, 4) shouldBe written
            fixture.changes shouldBe listOf(StoreEra(3) to StoreEra(4))
        }

        test("a call of an earlier era gets no result from the store in the new one, since its conditions are void") {
            val fixture = ClientFixture()
            fixture.call()(written, 3)
            val early = fixture.call()
            val revealing = fixture.call()
            revealing(written, 4) shouldBe StoreReply.Unavailable
            early(written, 4) shouldBe StoreReply.Unavailable
        }

        test("a late reply of an earlier era undoes nothing") {
            val fixture = ClientFixture()
            fixture.call()(written, 3)
            val early = fixture.call()
            fixture.call()(written, 4)
            val late = fixture.call()
            early(written, 3) shouldBe StoreReply.Unavailable
            late(written, 3) shouldBe StoreReply.Unavailable
            fixture.store.era shouldBe StoreEra(4)
        }

        test("an era that a peer knows counts like one that the store tells") {
            val fixture = ClientFixture()
            fixture.call()(written, 3)
            fixture.store.noteEra(StoreEra(5), Moment.ZERO)
            fixture.store.noteEra(StoreEra(4), Moment.ZERO)
            fixture.changes shouldBe listOf(StoreEra(3) to StoreEra(5))
        }
    })
