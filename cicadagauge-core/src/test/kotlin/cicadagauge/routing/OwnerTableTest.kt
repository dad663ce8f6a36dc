package cicadagauge.routing

import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.ownership.Member
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.SlotException
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class OwnerTableTest :
    FunSpec({
        val members = (1..15).map { Member(UpstreamId("catalogue-$it")) }
        val record =
            OwnershipRecord(PoolName("p"), Term(1), RecordVersion(1), VmId("vm"), slots = 4_096, members = members)
        val table = OwnerTable(record)

        fun tableWithShare(index: Int, share: Int) = OwnerTable(
            record.copy(
                members = members.mapIndexed { at, it -> if (at == index) it.copy(share = share) else it },
            ),
        )

        test("removing a member moves its slots and no others") {
            val without = tableWithShare(3, 0)
            without.movedSlotCount(table) shouldBe table.slotsOf(members[3].upstream).size
            without.slotsOf(members[3].upstream).size shouldBe 0
        }

        test("a member holds about its share of the slots, and keeps all of them when the share grows") {
            val quarter = tableWithShare(3, 25).slotsOf(members[3].upstream)
            val half = tableWithShare(3, 50).slotsOf(members[3].upstream)
            val full = table.slotsOf(members[3].upstream)
            quarter.intersect(half) shouldBe quarter
            half.intersect(full) shouldBe half
            quarter.size shouldBeInRange full.size / 8..full.size / 2
        }

        test("each slot has an owner even if all members are warming up") {
            val warming = OwnerTable(record.copy(members = members.map { it.copy(share = 1) }))
            (0 until record.slots).all { warming.ownerOf(Slot(it)) != null } shouldBe true
        }

        test("an exception moves one slot, unless its upstream is out of service") {
            val exception = SlotException(Slot(7), members[5].upstream)
            OwnerTable(record.copy(exceptions = listOf(exception))).ownerOf(Slot(7)) shouldBe members[5].upstream
            val out = members.mapIndexed { at, it -> if (at == 5) it.copy(share = 0) else it }
            val table = OwnerTable(record.copy(members = out, exceptions = listOf(exception)))
            (table.ownerOf(Slot(7)) == members[5].upstream) shouldBe false
        }

        test("every key hashes to a slot of the pool") {
            (0 until 10_000).all { table.slotOf("key-$it").index in 0 until record.slots } shouldBe true
        }
    })
