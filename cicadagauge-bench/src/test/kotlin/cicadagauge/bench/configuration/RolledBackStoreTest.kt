package cicadagauge.bench.configuration

import cicadagauge.bench.ownership.OwnershipAudit
import cicadagauge.bench.virtual.FleetObserver
import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.identity.Address
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.NodeSettings
import cicadagauge.node.StateChange
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.JsonRecordCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun VirtualFleet.stored(prefix: String): List<StoreEntry> {
    var listed = emptyList<StoreEntry>()
    store.model.handle(StoreCall.List(prefix), Moment(time.now)) { listed = (it as StoreReply.Listed).entries }
    return listed
}

/** Tests, under virtual time, what a whole fleet keeps where its store comes back from an older copy. */
class RolledBackStoreTest :
    FunSpec({
        test("declaration, registrations, seats and owners outlast a store that comes back from an older copy") {
            val audit = OwnershipAudit()
            val versions = HashMap<VmId, Long>()
            val eras = ArrayList<StateChange.StoreEraChanged>()
            val observer = object : FleetObserver by audit {
                override fun onStateChange(fleet: VirtualFleet, vm: VirtualVm, change: StateChange) {
                    if (change is StateChange.DeclarationInForce) versions[vm.id] = change.version.value
                    if (change is StateChange.StoreEraChanged) eras += change
                }
            }
            val settings = FleetSettings(
                shape = DeploymentShape.HOSHIZORA,
                nodeSettings = { id, zone ->
                    NodeSettings(id, zone, registration = Vm(id, Address(id.value, 1), Address(id.value, 1), zone))
                },
            )
            val fleet = VirtualFleet(settings, observer).start()
            fleet.time.advanceBy(400.milliseconds)
            val copy = fleet.store.model.copy(Moment(fleet.time.now))
            fleet.time.advanceBy(5.seconds)
            fleet.applyDeclaration(fleet.declaration, version = 2)
            fleet.time.advanceBy(4.seconds)
            val seats = fleet.stored(StoreKeys.SEATS.value).single().value.orEmpty().split(",")
            fleet.store.isDown = true
            fleet.time.advanceBy(1.seconds)
            fleet.store.comeBackFrom(copy)
            fleet.time.advanceBy(15.seconds)

            eras.size shouldBe fleet.vms.size
            versions.values.toSet() shouldBe setOf(2L)
            fleet.stored(StoreKeys.VMS).map { it.key.value.removePrefix(StoreKeys.VMS) } shouldContainAll
                fleet.vms.map { it.id.value }
            fleet.stored(StoreKeys.SEATS.value).single().value.orEmpty().split(",") shouldContainAll seats
            audit.maxOwners shouldBe 1
            for (pool in fleet.declaration.pools.filter { it.keyed }) {
                audit.owners(fleet, pool).count { it == null } shouldBe 0
                val text = fleet.stored(StoreKeys.RECORDS + pool.name).single().value.orEmpty()
                val record = JsonRecordCodec().decode(text).getOrNull()!!
                (record.term.value ushr 32) shouldBe 1
                record.isUnsettled shouldBe false
            }
        }
    })
