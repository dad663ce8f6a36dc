package cicadagauge.gateway.caller

import cicadagauge.identity.BodyDigest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.netty.buffer.Unpooled

class BodyHasherTest :
    FunSpec({
        val body = ByteArray(40_000) { it.toByte() }

        fun digestOf(length: Int, chunkSize: Int, isComplete: Boolean = true): BodyDigest? {
            val hasher = BodyHasher()
            for (start in 0 until length step chunkSize) {
                hasher.add(Unpooled.wrappedBuffer(body, start, minOf(chunkSize, length - start)))
            }
            return hasher.digest(isComplete)
        }

        test("the digest of a body does not depend on the parts in which it arrives") {
            for (length in listOf(1, 1_000, 16_384, 40_000)) {
                listOf(1, 7, 4_096, 40_000).map { digestOf(length, it) }.toSet().size shouldBe 1
            }
        }

        test("bodies that differ in their first 16 KiB have different digests") {
            digestOf(999, 100) shouldNotBe digestOf(1_000, 100)
            digestOf(0, 100) shouldNotBe digestOf(1, 100)
        }

        test("an incomplete body has a digest only if 16 KiB of it are known") {
            digestOf(16_383, 100, isComplete = false) shouldBe null
            digestOf(16_384, 100, isComplete = false) shouldBe digestOf(40_000, 100)
        }

        test("reading for the digest consumes nothing") {
            val content = Unpooled.wrappedBuffer(body, 0, 100)
            BodyHasher().add(content)
            content.readableBytes() shouldBe 100
        }
    })
