package cicadagauge.membership

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.Effects
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

private val ZONE = AvailabilityZone("a")
private const val DUTIES = 4_000

private fun vm(name: String, capacity: Double) =
    Vm(VmId(name), Address(name, 1), Address(name, 2), ZONE, capacity = capacity)

/** How many of [DUTIES] duties each of [vms] is responsible for. */
private fun dutiesOf(vms: List<Vm>): Map<VmId, Int> {
    val directory = VmDirectory(vms.first().id, ZONE, Effects()).apply { update(vms, Moment.ZERO) }
    return (1..DUTIES).mapNotNull { directory.responsibleFor("duty-$it")?.id }.groupingBy { it }.eachCount()
}

class VmWeightsTest :
    FunSpec({
        test("VMs of equal capacity are responsible for equal parts") {
            val counts = dutiesOf(List(10) { vm("vm-$it", capacity = 0.6) })
            counts.values.forEach { it.toDouble().shouldBeBetween(300.0, 500.0, 0.0) }
        }

        test("six large VMs among 74 small ones are responsible for most, and the small ones for something") {
            val small = List(74) { vm("small-$it", capacity = 0.3) }
            val large = List(6) { vm("large-$it", capacity = 1.5) }
            val counts = dutiesOf(small + large)
            val ofLarge = large.sumOf { counts[it.id] ?: 0 }.toDouble() / DUTIES
            ofLarge.shouldBeBetween(0.6, 0.75, 0.0)
        }

        test("a VM that leaves passes on only its own duties") {
            val all = List(8) { vm("vm-$it", capacity = 0.3 + 0.2 * it) }
            val before = VmDirectory(all.first().id, ZONE, Effects()).apply { update(all, Moment.ZERO) }
            val after = VmDirectory(all.first().id, ZONE, Effects()).apply { update(all.dropLast(1), Moment.ZERO) }
            val moved = (1..DUTIES).map { "duty-$it" }
                .filter { before.responsibleFor(it)?.id != after.responsibleFor(it)?.id }
            moved.all { before.responsibleFor(it)?.id == all.last().id } shouldBe true
        }
    })
