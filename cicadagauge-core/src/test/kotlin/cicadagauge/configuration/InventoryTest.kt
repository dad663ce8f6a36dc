package cicadagauge.configuration

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Effects
import cicadagauge.node.Timers
import cicadagauge.store.RegisteredUpstream
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreCallId
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreReply
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private class InventoryFixture {
    private var calls = 0L
    val timers = Timers()
    val store = StoreClient(Effects())
    var inForce: Declaration? = null
    val inventory = Inventory(store, timers, grace = 2.seconds) { declaration, _ -> inForce = declaration }

    fun at(seconds: Double) = Moment.ZERO + seconds.seconds

    /** Makes a store call at [now], which the store answers only if it [isUp]. */
    fun callStore(isUp: Boolean, now: Moment) {
        store.call(StoreCall.Get(StoreKey("k"))) { _, _ -> }
        val reply = if (isUp) StoreReply.LeaseLapsed else StoreReply.Unavailable
        store.replied(StoreCallId(++calls), reply, now)
    }

    fun register(id: String, now: Moment, isDraining: Boolean = false, coldFor: Duration = Duration.ZERO) {
        val upstream = Upstream(
            id = UpstreamId(id),
            address = Address(id, 1),
            zone = AvailabilityZone("a"),
            run = Incarnation("1"),
            isDraining = isDraining,
            coldFor = coldFor,
        )
        inventory.register(upstream.id, RegisteredUpstream(PoolName("p"), upstream), now)
    }

    val upstreams get() = inForce?.pools?.single()?.upstreams.orEmpty()
}

class InventoryTest :
    FunSpec({
        val declaration = Declaration(
            zones = emptySet(),
            pools = listOf(Pool(PoolName("p"), emptyList(), isDiscovered = true)),
            routes = emptyList(),
            customers = emptyList(),
        )

        fun fixture() = InventoryFixture().apply { inventory.declare(declaration, at(0.0)) }

        test("an upstream is used once it has registered, and no longer once its registration is removed") {
            val fixture = fixture()
            fixture.register("u", fixture.at(1.0))
            fixture.upstreams.map { it.id.value } shouldBe listOf("u")
            fixture.inventory.register(UpstreamId("u"), null, fixture.at(2.0))
            fixture.upstreams shouldBe emptyList()
        }

        test("a draining upstream and one in a zone out of service get no new work") {
            val fixture = fixture()
            fixture.register("u", fixture.at(1.0), isDraining = true)
            fixture.inForce?.isOut(fixture.upstreams.single()) shouldBe true
            fixture.register("u", fixture.at(2.0))
            fixture.inForce?.isOut(fixture.upstreams.single()) shouldBe false
            fixture.inventory.setZoneOut(AvailabilityZone("a"), isOut = true, now = fixture.at(3.0))
            fixture.inForce?.isOut(fixture.upstreams.single()) shouldBe true
            fixture.inventory.setZoneOut(AvailabilityZone("a"), isOut = false, now = fixture.at(4.0))
            fixture.inForce?.isOut(fixture.upstreams.single()) shouldBe false
        }

        test("a registration that lapsed while the store was unavailable may be renewed within the grace time") {
            val fixture = fixture()
            fixture.register("stays", fixture.at(1.0))
            fixture.register("gone", fixture.at(1.0))
            fixture.callStore(isUp = false, now = fixture.at(2.0))
            fixture.callStore(isUp = true, now = fixture.at(10.0))
            fixture.inventory.register(UpstreamId("stays"), null, fixture.at(10.1))
            fixture.inventory.register(UpstreamId("gone"), null, fixture.at(10.1))
            fixture.upstreams.size shouldBe 2
            fixture.register("stays", fixture.at(11.0))
            fixture.timers.run(fixture.at(12.1))
            fixture.upstreams.map { it.id.value } shouldBe listOf("stays")
        }

        test("an upstream is cold for the time that it registers, counted from its registration") {
            val fixture = fixture()
            fixture.register("u", fixture.at(5.0), coldFor = 3.seconds)
            fixture.inventory.coldUntil(UpstreamId("u")) shouldBe fixture.at(8.0)
        }
    })
