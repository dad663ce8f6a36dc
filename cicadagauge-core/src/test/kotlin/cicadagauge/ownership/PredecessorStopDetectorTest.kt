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
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.OwnershipSettings
import cicadagauge.peer.PeerMessage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = Moment.ZERO + 100.seconds

/** A successor on VM `new` that determines when the allocator on VM `old`, in zone `a`, sent its last order. */
private class Succession(backedElsewhere: Boolean = true) {
    private val effects = Effects()
    private val vms = VmDirectory(VmId("new"), AvailabilityZone("b"), effects)
    private val initial = OwnershipRecord(
        pool = PoolName("p"),
        term = Term.NONE.next(),
        version = RecordVersion.NONE.next(),
        allocator = VmId("new"),
        slots = 4,
        members = emptyList(),
        predecessors = setOf(VmId("old")),
        backedElsewhere = backedElsewhere,
    )
    var stoppedAt: Moment? = null
    val detector =
        PredecessorStopDetector(initial, vms, OwnershipSettings(clockDrift = 0.0), START) { at, _ -> stoppedAt = at }

    init {
        list("old" to "a", "beside" to "a", "new" to "b", "other" to "b", "third" to "c")
    }

    fun list(vararg present: Pair<String, String>) = vms.update(
        present.map { (id, zone) -> Vm(VmId(id), Address(id, 1), Address(id, 1), AvailabilityZone(zone)) },
        START,
    )

    /** Requests the missing confirmations and returns the VMs that were told of the new term. */
    fun askForConfirmations(): List<String> {
        detector.requestConfirmations(START)
        return effects.take().filterIsInstance<Effect.SendPeer>()
            .filter { it.message is PeerMessage.TermRaised }.map { it.to.value }
    }

    /** Passes on the confirmation of [vm] that its promises to holders of lower terms end after [lasting]. */
    fun confirm(vm: String, lasting: Duration = Duration.ZERO) = detector.termNoted(VmId(vm), lasting, START)
}

class PredecessorStopDetectorTest :
    FunSpec({
        test("all VMs outside of the predecessor's zone are asked, and no others") {
            Succession().askForConfirmations() shouldContainExactlyInAnyOrder listOf("other", "third")
        }

        test("a predecessor that no VM backs sent its last order before the term began") {
            val succession = Succession()
            succession.askForConfirmations()
            succession.confirm("other")
            succession.stoppedAt.shouldBeNull()
            succession.confirm("third")
            succession.stoppedAt shouldBe START
        }

        test("a predecessor may have sent orders until the last promise that backs it ends") {
            val succession = Succession()
            succession.confirm("other", lasting = 700.milliseconds)
            succession.confirm("third")
            succession.stoppedAt shouldBe START + 700.milliseconds
        }

        test("no confirmation is needed from a VM that is no longer listed") {
            val succession = Succession()
            succession.confirm("other")
            succession.list("old" to "a", "beside" to "a", "new" to "b", "other" to "b")
            succession.askForConfirmations()
            succession.stoppedAt.shouldNotBeNull()
        }

        test("VMs of the predecessor's zone are asked too if they may back it") {
            Succession(backedElsewhere = false).askForConfirmations() shouldContainExactlyInAnyOrder
                listOf("beside", "other", "third")
        }

        test("a predecessor's own report that it has stopped counts, whatever promises it was given") {
            val succession = Succession()
            succession.confirm("other", lasting = 2.seconds)
            val reportedAt = START + 10.milliseconds
            succession.detector.predecessorStopped(VmId("old"), at = reportedAt, now = reportedAt)
            succession.stoppedAt shouldBe START + 10.milliseconds
        }
    })
