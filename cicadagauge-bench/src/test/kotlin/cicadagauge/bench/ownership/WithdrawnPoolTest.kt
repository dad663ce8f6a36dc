package cicadagauge.bench.ownership

import cicadagauge.bench.virtual.FleetSettings
import cicadagauge.bench.virtual.RequestResult
import cicadagauge.bench.virtual.VirtualFleet
import cicadagauge.bench.virtual.VirtualVm
import cicadagauge.declaration.Declaration
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.node.Event
import cicadagauge.peer.PeerMessage
import cicadagauge.standins.deployment.DeploymentShape
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SHAPE = DeploymentShape.HOSHIZORA
private val POOL = PoolName("catalogue")
private val DUTY_KEY = StoreKey(StoreKeys.DUTIES + POOL)

/** How the store fails around the withdrawal of a pool. */
private class StoreFailure(
    val name: String,
    val begin: VirtualFleet.(VirtualVm) -> Unit,
    val end: VirtualFleet.() -> Unit,
)

private val FAILURES = listOf(
    StoreFailure("turns the allocator's VM away", {
        store.refused = setOf(it.endpoint)
    }, { store.refused = emptySet() }),
    StoreFailure("is down", { store.isDown = true }, { store.isDown = false }),
    StoreFailure("loses the answers to writes", {
        store.losesWriteReplies = true
    }, { store.losesWriteReplies = false }),
    StoreFailure("is slow", { store.replyDelay = 500.milliseconds }, { store.replyDelay = Duration.ZERO }),
    StoreFailure("does not fail", { }, { }),
)

/** The declaration without the pool and its routes. */
private fun VirtualFleet.withoutPool(): Declaration = declaration.copy(
    pools = declaration.pools.filter { it.name != POOL },
    routes = declaration.routes.filter { it.pool != POOL },
)

/** The allocator's VM, which holds the key of the pool's duty. */
private fun VirtualFleet.allocatorVm(): VirtualVm {
    val allocator = vms.first().status().pools.first { it.pool == POOL }.allocator
    return vms.first { it.id == allocator }
}

private fun VirtualFleet.dutyEntry(): StoreEntry {
    lateinit var entry: StoreEntry
    store.model.handle(StoreCall.Get(DUTY_KEY), Moment(time.now)) {
        entry = (it as StoreReply.Found).entry
    }
    return entry
}

/** How many of 60 requests for keys of the pool are answered. */
private fun VirtualFleet.servedKeys(): Int {
    var served = 0
    repeat(REQUESTS) { number ->
        val head = FakeRequestHead("GET", "/catalogue/club-$number", SHAPE.apiKeyOf("customer-1"), 1.seconds)
        request(vms[number % vms.size], head) { if (it == RequestResult.Answered) served++ }
        time.advanceBy(20.milliseconds)
    }
    time.advanceBy(1.seconds)
    return served
}

private const val REQUESTS = 60

/** Tests, under virtual time, that a pool that is withdrawn and declared again gets an allocator again. */
class WithdrawnPoolTest :
    FunSpec({
        // Guards against a service that is never served again: the store turned the allocator's VM away while the
        // service left the declaration, so that the key of its duty stayed (review case 9).
        for (failure in FAILURES) {
            for (lead in listOf(0, 100, 200, 300).map { it.milliseconds }) {
                test(
                    "a pool is served again after it was withdrawn $lead into a time in which the store ${failure.name}",
                ) {
                    val fleet = VirtualFleet(FleetSettings(SHAPE, vmCount = 3)).start()
                    fleet.time.advanceBy(10.seconds)
                    failure.begin(fleet, fleet.allocatorVm())
                    fleet.time.advanceBy(lead)
                    fleet.applyDeclaration(fleet.withoutPool(), version = 2)
                    fleet.time.advanceBy(400.milliseconds - lead)
                    failure.end(fleet)
                    fleet.time.advanceBy(5.seconds)
                    withClue("holder of the duty of a pool that is not declared") {
                        fleet.dutyEntry().value shouldBe null
                    }
                    fleet.applyDeclaration(fleet.declaration, version = 3)
                    fleet.time.advanceBy(5.seconds)
                    fleet.servedKeys() shouldBeGreaterThanOrEqual REQUESTS * 9 / 10
                }
            }
        }

        for (pause in listOf(5, 50, 200, 500, 1_500).map { it.milliseconds }) {
            test(
                "a pool is served again that was withdrawn for $pause while the store turned its allocator's VM away",
            ) {
                val fleet = VirtualFleet(FleetSettings(SHAPE, vmCount = 3)).start()
                fleet.time.advanceBy(10.seconds)
                fleet.store.refused = setOf(fleet.allocatorVm().endpoint)
                fleet.applyDeclaration(fleet.withoutPool(), version = 2)
                fleet.time.advanceBy(pause)
                fleet.applyDeclaration(fleet.declaration, version = 3)
                fleet.time.advanceBy(500.milliseconds)
                fleet.store.refused = emptySet()
                fleet.time.advanceBy(5.seconds)
                fleet.servedKeys() shouldBeGreaterThanOrEqual REQUESTS * 9 / 10
            }
        }

        for (uptime in listOf(1, 2, 3, 4, 5, 6, 8, 10, 20, 50, 100, 500, 1_000).map { it.milliseconds }) {
            test("no VM keeps the duty of a pool that is withdrawn $uptime after it was first declared") {
                val fleet = VirtualFleet(FleetSettings(SHAPE, vmCount = 3))
                fleet.start()
                fleet.applyDeclaration(fleet.withoutPool(), version = 2)
                fleet.time.advanceBy(10.seconds)
                fleet.applyDeclaration(fleet.declaration, version = 3)
                fleet.time.advanceBy(uptime)
                fleet.applyDeclaration(fleet.withoutPool(), version = 4)
                fleet.time.advanceBy(5.seconds)
                withClue("holder of the duty, VMs that allocate") {
                    fleet.dutyEntry().value shouldBe null
                    fleet.vms.filter { POOL in it.status().duties }.map { it.id } shouldBe emptyList()
                }
                fleet.applyDeclaration(fleet.declaration, version = 5)
                fleet.time.advanceBy(5.seconds)
                fleet.servedKeys() shouldBeGreaterThanOrEqual REQUESTS * 9 / 10
            }
        }

        // Guards against a duty that no VM takes: its holder had stopped to allocate, but kept the key alive.
        test("a pool gets an allocator again after its allocator has yielded to one that is not there") {
            val fleet = VirtualFleet(FleetSettings(SHAPE, vmCount = 3)).start()
            fleet.time.advanceBy(10.seconds)
            val allocator = fleet.allocatorVm()
            val term = allocator.status().pools.first { it.pool == POOL }.term
            val other = fleet.vms.first { it !== allocator }
            allocator.submit(Event.PeerMessageReceived(other.id, PeerMessage.Yield(POOL, term.next())))
            fleet.time.advanceBy(5.seconds)
            fleet.vms.count { POOL in it.status().duties } shouldBe 1
            fleet.servedKeys() shouldBeGreaterThanOrEqual REQUESTS * 9 / 10
        }
    })
