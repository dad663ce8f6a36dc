package cicadagauge.bench.budget

import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.Address
import cicadagauge.membership.Vm
import cicadagauge.node.DispatchSettings
import cicadagauge.node.SelfRegisteredNode
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.MessageJson
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlin.time.Duration.Companion.seconds

/** Counts what VMs say to each other about budgets. */
private class BudgetTalk : FleetObserver {
    var messages = 0
    var bytes = 0L

    override fun onPeerMessage(fleet: VirtualFleet, vm: VirtualVm, message: PeerMessage) {
        val isOfBudgets = message is PeerMessage.BudgetRequest ||
            message is PeerMessage.BudgetReply ||
            message is PeerMessage.WaiverRenewal ||
            message is PeerMessage.WaiverReply
        if (!isOfBudgets) return
        messages++
        bytes += MessageJson.write(listOf(message)).size
    }
}

/** Tests, under virtual time, what the budgets of customers without requests cost. */
class ManyCustomersTest :
    FunSpec({
        /** Messages and bytes that each VM sends per second, in a fleet of 12 VMs at rest. */
        fun talk(customers: Int): Pair<Double, Double> {
            val talk = BudgetTalk()
            val shape = DeploymentShape.HOSHIZORA.copy(customerRates = List(customers) { 100.0 })
            val settings = FleetSettings(
                shape,
                nodeSettings = { id, zone ->
                    val vm = Vm(id, Address(id.value, 1), Address(id.value, 1), zone)
                    SelfRegisteredNode.settings(vm, DispatchSettings(retryRatio = 0.2, retryBurst = 50))
                },
            )
            val fleet = VirtualFleet(settings, talk)
            fleet.applyDeclaration(fleet.declaration, version = 1)
            repeat(VMS) { fleet.addVm() }
            fleet.time.advanceBy(20.seconds)
            talk.messages = 0
            talk.bytes = 0
            fleet.time.advanceBy(10.seconds)
            return talk.messages / SECONDS / VMS to talk.bytes / SECONDS / VMS
        }

        test("the number of messages about budgets does not grow with the customers who send no requests") {
            val few = talk(customers = 8)
            val many = talk(customers = 90)
            withClue("messages and bytes a second and VM: 8 customers $few, 90 customers $many") {
                many.first shouldBeLessThan few.first * 2
                many.second shouldBeLessThan few.second * 4
            }
        }
    }) {
    private companion object {
        const val VMS = 12
        const val SECONDS = 10.0
    }
}
