package cicadagauge.gateway.memory

import cicadagauge.gateway.MemoryLimits
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val LIMIT = 1_000_000L
private const val FLOOR = 8_192L

/** A connection that stops growing when it is paused, and holds nothing once it is given up. */
private class TestHolder(account: MemoryAccount, override val holderState: HolderState = HolderState.Waiting) : Holder {
    val share = account.open(this)
    var isPaused = false
    var isGivenUp = false

    override fun pauseForMemory(pause: Boolean) {
        isPaused = pause
    }

    override fun giveUp() {
        isGivenUp = true
        share.close()
    }

    fun hold(bytes: Long): Unit = share.set(heads = 0, ahead = 0, bodies = bytes, answers = 0)
}

class MemoryAccountTest :
    FunSpec({
        test("a crowd of uploads is paused before the VM is full, and an ordinary request is not") {
            var isFull = false
            val account = MemoryAccount(MemoryLimits(LIMIT, FLOOR)) { isFull = true }
            val crowd = List(40) { TestHolder(account) }
            val ordinary = TestHolder(account)
            ordinary.hold(4_000)
            repeat(20) { crowd.filterNot { it.isPaused }.forEach { it.hold(it.share.bytes + 4_096) } }
            crowd.all { it.isPaused } shouldBe true
            ordinary.isPaused shouldBe false
            isFull shouldBe false
            crowd.forEach { it.hold(0) }
            crowd.filter { it.isPaused }.shouldBeEmpty()
            account.held shouldBe 4_000
            account.pausedCount shouldBe 0
        }

        test("a full VM gives up those that can be refused truthfully first, and of these those that hold most") {
            var isFull = false
            val account = MemoryAccount(MemoryLimits(LIMIT, FLOOR)) { isFull = true }
            val answering = TestHolder(account, HolderState.Answering).apply { hold(400_000) }
            val ordinary = TestHolder(account).apply { hold(4_000) }
            val waiting = listOf(100_000L, 300_000L, 200_000L).map { bytes ->
                TestHolder(account).apply { hold(bytes) }
            }
            isFull shouldBe true
            val givenUp = ArrayList<Pair<HolderState, Long>>()
            account.giveUp { state, bytes -> givenUp += state to bytes }
            givenUp shouldContainExactly listOf(HolderState.Waiting to 300_000L)
            waiting.map { it.isGivenUp } shouldContainExactly listOf(false, true, false)
            (ordinary.isGivenUp || answering.isGivenUp) shouldBe false
            account.held shouldBeLessThan LIMIT * 3 / 4
        }

        test("callers that don't read are given up if nothing else is left") {
            val account = MemoryAccount(MemoryLimits(LIMIT, FLOOR))
            val readers = List(10) { TestHolder(account, HolderState.Answering).apply { hold(100_000) } }
            account.giveUp { _, _ -> }
            readers.count { it.isGivenUp } shouldBe 3
        }
    })
