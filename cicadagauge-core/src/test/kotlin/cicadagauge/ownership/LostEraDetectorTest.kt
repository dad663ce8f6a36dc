package cicadagauge.ownership

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.store.StoreEra
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = Moment.ZERO + 100.seconds

/** The first allocator of a new era, beside the VMs `other` and `third`. */
private class FirstOfEra(knowsAllVms: Boolean) {
    private val vms = VmDirectory(VmId("new"), AvailabilityZone("a"), Effects())
    private val initial = OwnershipRecord(
        pool = PoolName("p"),
        term = Term.NONE.within(StoreEra(2)),
        version = RecordVersion.NONE.within(StoreEra(2)),
        allocator = VmId("new"),
        slots = 4,
        members = emptyList(),
        isUnsettled = true,
    )
    val settings = OwnershipSettings(clockDrift = 0.0)
    var stoppedAt: Moment? = null
    private val detector = LostEraDetector(initial, vms, settings, START, knowsAllVms) { at, _ -> stoppedAt = at }

    init {
        val all = listOf("new", "other", "third").map { Vm(VmId(it), Address(it, 1), Address(it, 1), vms.zone) }
        vms.update(all, START)
    }

    fun confirm(vm: String, lasting: Duration = Duration.ZERO) = detector.termNoted(VmId(vm), lasting, START)

    fun check(after: Duration) = detector.requestConfirmations(START + after)
}

class LostEraDetectorTest :
    FunSpec({
        test("an unknown allocator may use its lost lease until that would have ended, once no VM backs it") {
            val first = FirstOfEra(knowsAllVms = true)
            first.confirm("other")
            first.stoppedAt shouldBe null
            first.confirm("third")
            first.stoppedAt shouldBe START + first.settings.dutyLease
        }

        test("an unknown allocator may give orders until the last promise that backs it ends") {
            val first = FirstOfEra(knowsAllVms = true)
            first.confirm("other", lasting = 1_700.milliseconds)
            first.confirm("third")
            first.stoppedAt shouldBe START + 1_700.milliseconds
        }

        test("where there may be unknown VMs, confirmations prove nothing and the time without a store decides") {
            val first = FirstOfEra(knowsAllVms = false)
            first.confirm("other")
            first.confirm("third")
            first.check(after = 15.seconds)
            first.stoppedAt shouldBe null
            first.check(after = 16.seconds)
            first.stoppedAt shouldBe START + first.settings.ranges.storelessRenewal + first.settings.storeOutTimeout
        }

        test("the numbers of an era are above all of the eras before it") {
            Term.NONE.next().within(StoreEra.FIRST) shouldBe Term(1)
            Term(5).within(StoreEra.FIRST) shouldBe Term(5)
            val later = Term(5).within(StoreEra(1))
            (later > Term(5).within(StoreEra.FIRST)) shouldBe true
            later.era shouldBe StoreEra(1)
            RecordVersion(7).within(StoreEra(1)).value shouldBe later.value
            (Term(later.value + 9).within(StoreEra(2)) > Term(later.value + 9)) shouldBe true
        }
    })
