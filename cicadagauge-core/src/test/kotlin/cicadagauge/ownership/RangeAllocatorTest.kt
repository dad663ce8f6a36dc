package cicadagauge.ownership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A simulation in which the first allocator has assigned every slot an owner. */
private fun settledSimulation(seed: Int = 1, faults: OrderFaults = OrderFaults(), upstreamCount: Int = 4) =
    RangeSimulation(seed, faults, upstreamCount).apply {
        takeOver()
        run(10.seconds)
    }

class RangeAllocatorTest :
    FunSpec({
        test("every slot is served by one upstream once the upstreams are known") {
            val sim = settledSimulation()
            sim.served() shouldBe SIMULATED_SLOTS
            sim.maxOwnersPerSlot shouldBe 1
        }

        test("the slots of an upstream whose address refuses connections are served again within 2 s") {
            val sim = settledSimulation()
            sim.upstreams[1].crash()
            sim.run(2.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            sim.maxOwnersPerSlot shouldBe 1
        }

        for (upstreamCount in listOf(4, 15, 60)) {
            test("an upstream that only refuses connections keeps its slots for its hold: $upstreamCount") {
                for (startMillis in 0 until 1_000 step 50) {
                    val sim = settledSimulation(upstreamCount = upstreamCount)
                    sim.run(startMillis.milliseconds)
                    sim.upstreams[1].refusesConnections = true
                    sim.run(10.seconds)
                    withClue("refuses connections after $startMillis ms") {
                        sim.maxOwnersPerSlot shouldBe 1
                        sim.served() shouldBe SIMULATED_SLOTS
                    }
                }
            }

            test("an upstream that refuses connections for less than its hold keeps its slots: $upstreamCount") {
                for (startMillis in 0 until 1_000 step 50) {
                    val sim = settledSimulation(upstreamCount = upstreamCount)
                    sim.run(startMillis.milliseconds)
                    val owners = sim.store.record.ranges.map { it.owner }
                    sim.upstreams[1].refusesConnections = true
                    sim.run(500.milliseconds)
                    sim.upstreams[1].refusesConnections = false
                    sim.run(5.seconds)
                    withClue("refuses connections after $startMillis ms") {
                        sim.store.record.ranges.map { it.owner } shouldBe owners
                        sim.served() shouldBe SIMULATED_SLOTS
                    }
                }
            }
        }

        test("the slots of a crashed upstream are served again within 2 s, whenever it crashes between two renewals") {
            for (startMillis in 0 until 1_000 step 50) {
                val sim = settledSimulation()
                sim.run(startMillis.milliseconds)
                sim.upstreams[1].crash()
                sim.run(2.seconds)
                withClue("crashed after $startMillis ms") { sim.served() shouldBe SIMULATED_SLOTS }
            }
        }

        test("a former owner that refuses connections holds up a move until its hold is over, and not longer") {
            val sim = settledSimulation()
            sim.upstreams[1].isDraining = true
            sim.upstreams[1].refusesConnections = true
            sim.run(3.seconds)
            sim.maxOwnersPerSlot shouldBe 1
            sim.served() shouldBe SIMULATED_SLOTS
        }

        test("the slots of an unreachable upstream have no other owner until its hold has expired") {
            val sim = settledSimulation()
            sim.upstreams[1].isReachable = false
            sim.run(10.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            sim.maxOwnersPerSlot shouldBe 1
        }

        test("every slot is served after an upstream restarts, and the ranges it owns then have a higher fence") {
            val sim = settledSimulation()
            val fences = sim.store.record.ranges.associate { it.owner.upstream to it.fence }
            sim.upstreams[2].crash()
            sim.upstreams[2].restart()
            sim.run(5.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            val again = sim.store.record.ranges.filter { it.owner.upstream == sim.upstreams[2].registered.id }
            again.all { it.fence > fences.getValue(it.owner.upstream) } shouldBe true
        }

        test("grants are renewed during a store outage") {
            val sim = settledSimulation()
            sim.store.isUp = false
            sim.run(10.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
        }

        test("an allocator with neither a valid store lease nor another VM's promise renews nothing") {
            val sim = settledSimulation()
            sim.allocators.first().isBacked = false
            sim.run(4.seconds)
            sim.served() shouldBe 0
        }

        test("no slot has two owners when a paused allocator that was replaced resumes") {
            val sim = settledSimulation()
            val first = sim.allocators.first()
            first.pause(6.seconds)
            sim.run(1.seconds)
            val second = sim.takeOver()
            sim.upstreams[0].crash()
            sim.run(6.seconds)
            second.predecessorHasStopped(first)
            sim.run(4.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            sim.maxOwnersPerSlot shouldBe 1
        }

        test("slots of a crashed upstream are served after the replaced allocator, cut off from the store, stops") {
            val sim = settledSimulation()
            val first = sim.allocators.first()
            first.reachesStore = false
            val second = sim.takeOver()
            sim.upstreams[3].crash()
            sim.run(2.seconds)
            sim.maxOwnersPerSlot shouldBe 1
            first.crash()
            second.predecessorHasStopped(first)
            sim.run(6.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            sim.maxOwnersPerSlot shouldBe 1
        }

        test("upstreams that carry out 30 % of their orders late, without an answer, keep their slots") {
            val sim = settledSimulation(faults = OrderFaults(late = 0.3))
            val owners = sim.store.record.ranges.map { it.owner }
            sim.run(10.seconds)
            sim.store.record.ranges.map { it.owner } shouldBe owners
        }

        test("an upstream that was marked as lost gets slots again only once it has answered") {
            val sim = settledSimulation()
            sim.upstreams[1].isReachable = false
            sim.run(60.seconds)
            sim.served() shouldBe SIMULATED_SLOTS
            val version = sim.store.record.version
            sim.run(60.seconds)
            sim.store.record.version shouldBe version
            sim.upstreams[1].isReachable = true
            sim.run(10.seconds)
            sim.store.record.ranges.any { it.owner.upstream == sim.upstreams[1].registered.id } shouldBe true
        }

        for (seed in 1..100) {
            test("under random faults no slot has two owners, and each has one in the end, seed $seed") {
                val random = Random(seed)
                val sim = settledSimulation(seed, OrderFaults(lost = 0.1, late = 0.15))
                repeat(25) {
                    val upstream = sim.upstreams[random.nextInt(sim.upstreams.size)]
                    val allocator = sim.allocators.last()
                    when (random.nextInt(9)) {
                        7 -> upstream.refusesConnections = !upstream.refusesConnections
                        0 -> upstream.crash()
                        1 -> if (!upstream.isUp) upstream.restart()
                        2 -> upstream.isReachable = !upstream.isReachable
                        3 -> allocator.pause(4.seconds * random.nextDouble())
                        4 -> sim.takeOver()
                        5 -> allocator.reachesStore = !allocator.reachesStore
                        6 -> sim.store.isUp = !sim.store.isUp
                        else -> Unit
                    }
                    sim.run(2_500.milliseconds * random.nextDouble())
                }
                sim.store.isUp = true
                sim.faults = OrderFaults()
                sim.upstreams.forEach {
                    it.isReachable = true
                    it.refusesConnections = false
                    if (!it.isUp) it.restart()
                }
                val last = sim.takeOver()
                sim.allocators.filter { it !== last }.forEach {
                    it.crash()
                    last.predecessorHasStopped(it)
                }
                sim.run(20.seconds)
                withClue("seed $seed") {
                    sim.maxOwnersPerSlot shouldBe 1
                    sim.served() shouldBe SIMULATED_SLOTS
                }
            }
        }
    })
