package cicadagauge.ownership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A simulation in which the first allocator has assigned every slot an owner. */
private fun settledWorld(seed: Int = 1, faults: OrderFaults = OrderFaults()) = RangeWorld(seed, faults).apply {
    takeOver()
    run(10.seconds)
}

class RangeAllocatorTest :
    FunSpec({
        test("every slot is served by one upstream once the upstreams are known") {
            val world = settledWorld()
            world.served() shouldBe WORLD_SLOTS
            world.mostOwners shouldBe 1
        }

        test("the slots of an upstream whose address refuses connections are served again within 2 s") {
            val world = settledWorld()
            world.upstreams[1].crash()
            world.run(2.seconds)
            world.served() shouldBe WORLD_SLOTS
            world.mostOwners shouldBe 1
        }

        test("the slots of an unreachable upstream have no other owner until its hold has expired") {
            val world = settledWorld()
            world.upstreams[1].isReachable = false
            world.run(10.seconds)
            world.served() shouldBe WORLD_SLOTS
            world.mostOwners shouldBe 1
        }

        test("a restarted upstream owns nothing until it is granted slots under a higher fence") {
            val world = settledWorld()
            val fences = world.store.record.ranges.associate { it.owner.upstream to it.fence }
            world.upstreams[2].crash()
            world.upstreams[2].restart()
            world.run(5.seconds)
            world.served() shouldBe WORLD_SLOTS
            val again = world.store.record.ranges.filter { it.owner.upstream == world.upstreams[2].registered.id }
            again.all { it.fence > fences.getValue(it.owner.upstream) } shouldBe true
        }

        test("grants are renewed during a store outage") {
            val world = settledWorld()
            world.store.isUp = false
            world.run(10.seconds)
            world.served() shouldBe WORLD_SLOTS
        }

        test("an allocator with neither a valid store lease nor another VM's promise renews nothing") {
            val world = settledWorld()
            world.allocators.first().isBacked = false
            world.run(4.seconds)
            world.served() shouldBe 0
        }

        test("a paused allocator that was replaced takes no slots back when it resumes") {
            val world = settledWorld()
            val first = world.allocators.first()
            first.pause(6.seconds)
            world.run(1.seconds)
            world.takeOver()
            world.upstreams[0].crash()
            world.run(10.seconds)
            world.served() shouldBe WORLD_SLOTS
            world.mostOwners shouldBe 1
        }

        test("slots of a crashed upstream wait until the replaced allocator, cut off from the store, has stopped") {
            val world = settledWorld()
            val first = world.allocators.first()
            first.reachesStore = false
            val second = world.takeOver()
            world.upstreams[3].crash()
            world.run(2.seconds)
            world.mostOwners shouldBe 1
            first.crash()
            second.learnThatItStopped(first)
            world.run(6.seconds)
            world.served() shouldBe WORLD_SLOTS
            world.mostOwners shouldBe 1
        }

        test("an upstream that carries out 30 % of its orders late, without an answer, keeps its slots") {
            val world = settledWorld(faults = OrderFaults(late = 0.3))
            val owners = world.store.record.ranges.map { it.owner }
            world.run(10.seconds)
            world.store.record.ranges.map { it.owner } shouldBe owners
        }

        test("an upstream that was marked as lost gets slots again only once it has answered") {
            val world = settledWorld()
            world.upstreams[1].isReachable = false
            world.run(60.seconds)
            world.served() shouldBe WORLD_SLOTS
            val version = world.store.record.version
            world.run(60.seconds)
            world.store.record.version shouldBe version
            world.upstreams[1].isReachable = true
            world.run(10.seconds)
            world.store.record.ranges.any { it.owner.upstream == world.upstreams[1].registered.id } shouldBe true
        }

        for (seed in 1..100) {
            test("under random faults no slot has two owners, and each has one in the end, seed $seed") {
                val random = Random(seed)
                val world = settledWorld(seed, OrderFaults(lost = 0.1, late = 0.15))
                repeat(25) {
                    val upstream = world.upstreams[random.nextInt(world.upstreams.size)]
                    val allocator = world.allocators.last()
                    when (random.nextInt(8)) {
                        0 -> upstream.crash()
                        1 -> if (!upstream.isUp) upstream.restart()
                        2 -> upstream.isReachable = !upstream.isReachable
                        3 -> allocator.pause(4.seconds * random.nextDouble())
                        4 -> world.takeOver()
                        5 -> allocator.reachesStore = !allocator.reachesStore
                        6 -> world.store.isUp = !world.store.isUp
                        else -> Unit
                    }
                    world.run(2_500.milliseconds * random.nextDouble())
                }
                world.store.isUp = true
                world.faults = OrderFaults()
                world.upstreams.forEach {
                    it.isReachable = true
                    if (!it.isUp) it.restart()
                }
                val last = world.takeOver()
                world.allocators.filter { it !== last }.forEach {
                    it.crash()
                    last.learnThatItStopped(it)
                }
                world.run(20.seconds)
                withClue("seed $seed") {
                    world.mostOwners shouldBe 1
                    world.served() shouldBe WORLD_SLOTS
                }
            }
        }
    })
