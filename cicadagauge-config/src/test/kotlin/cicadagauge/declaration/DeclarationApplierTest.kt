package cicadagauge.declaration

import arrow.core.left
import arrow.core.right
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val TEXT = """
zones: [a]
pools: [{name: p, keyed: false, upstreams: [{id: u, address: 'h:1', zone: a}]}]
routes: []
"""

/**
 * A store with a single entry. The next [unansweredWrites] writes take effect but their replies are lost; while
 * [isUnavailable], every call fails without effect.
 */
private class SingleEntryStore : StorePort {
    private var entry = StoreEntry(StoreKeys.DECLARATION, null, StoreRevision.ABSENT)
    var unansweredWrites = 0
    var isUnavailable = false

    override fun call(call: StoreCall): StoreReply = when {
        isUnavailable -> StoreReply.Unavailable
        call !is StoreCall.Put -> StoreReply.Found(entry)
        call.expect != entry.revision -> StoreReply.Conflict(entry)
        else -> {
            entry = StoreEntry(call.key, call.value, StoreRevision(entry.revision.value + 1))
            if (unansweredWrites-- > 0) StoreReply.Unavailable else StoreReply.Written(entry.revision)
        }
    }
}

class DeclarationApplierTest :
    FunSpec({
        val none = DeclarationVersion.NONE

        test("each apply increments the version and a stale base is a conflict") {
            val applier = DeclarationApplier(SingleEntryStore())
            applier.apply(TEXT, none, OperationId("a")) shouldBe DeclarationVersion(1).right()
            applier.apply(TEXT, DeclarationVersion(1), OperationId("b")) shouldBe DeclarationVersion(2).right()
            applier.apply(TEXT, DeclarationVersion(1), OperationId("c")) shouldBe
                ApplyError.Conflict(DeclarationVersion(1), DeclarationVersion(2)).left()
        }

        test("repeating an operation changes nothing") {
            val applier = DeclarationApplier(SingleEntryStore())
            applier.apply(TEXT, none, OperationId("a"))
            applier.apply(TEXT, none, OperationId("a")) shouldBe DeclarationVersion(1).right()
        }

        test("a write whose reply was lost is recognized by its operation ID") {
            val store = SingleEntryStore().apply { unansweredWrites = 1 }
            DeclarationApplier(store).apply(TEXT, none, OperationId("a")) shouldBe DeclarationVersion(1).right()
        }

        test("an outage and an invalid declaration are reported and change nothing") {
            val store = SingleEntryStore().apply { isUnavailable = true }
            DeclarationApplier(store).apply(TEXT, none, OperationId("a")) shouldBe
                ApplyError.Unavailable(mayBeWritten = false).left()
            DeclarationApplier(
                store,
            ).apply("zones: 7", none, OperationId("a")).leftOrNull().shouldBeInstanceOf<ApplyError.Invalid>()
            store.isUnavailable = false
            DeclarationApplier(store).current() shouldBe ApplyError.Missing.left()
        }
    })
