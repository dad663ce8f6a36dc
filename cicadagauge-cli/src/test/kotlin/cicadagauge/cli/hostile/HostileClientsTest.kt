/*
 * Crowds of clients that misbehave, against one entry VM that runs as a process of its own. Of each crowd, most clients
 * stop short of the end of what they send and stay connected.
 */
package cicadagauge.cli.hostile

import cicadagauge.standins.KnownFailure
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

/** [size] clients that send [message], [pieceBytes] at a time, to the callers' port or the one that reports readiness. */
private class HostileCase(
    val name: String,
    val size: Int,
    val message: ByteArray,
    val pieceBytes: Int = message.size,
    val toReadiness: Boolean = false,
    val maxDescriptors: Int = SMALLEST_VM_DESCRIPTORS,
) {
    private companion object {
        const val SMALLEST_VM_DESCRIPTORS = 2_212
    }
}

private fun post(path: String, headers: String) = "POST $path HTTP/1.1\r\nhost: h\r\n$headers\r\n"

private fun get(path: String, headers: String = "") = "GET $path HTTP/1.1\r\nhost: h\r\n$headers\r\n"

/** A request to [path] with a body that lacks its last byte. */
private fun unfinished(path: String, bodyBytes: Int) =
    (post(path, "content-length: $bodyBytes\r\n") + "x".repeat(bodyBytes - 1)).toByteArray()

/** A request to [path] with [count] chunks of [chunkBytes] and without the last one. */
private fun unfinishedChunks(path: String, count: Int, chunkBytes: Int): ByteArray {
    val chunk = "${chunkBytes.toString(radix = 16)}\r\n${"x".repeat(chunkBytes)}\r\n"
    return (post(path, "transfer-encoding: chunked\r\n") + chunk.repeat(count)).toByteArray()
}

private const val SHORT_FIELDS = 3_000
private val SHORT_HEADERS = "a:b\r\n".repeat(SHORT_FIELDS)

private val CASES = listOf(
    HostileCase("bodies in one piece", size = 400, unfinished("/hold", bodyBytes = 200_000)),
    HostileCase("bodies in one piece, without a route", size = 400, unfinished("/nowhere", bodyBytes = 200_000)),
    HostileCase("bodies in small pieces", size = 100, unfinished("/hold", bodyBytes = 40_000), pieceBytes = 40),
    HostileCase("bodies in very small chunks", size = 60, unfinishedChunks("/hold", 60_000, 1), pieceBytes = 6_000),
    HostileCase("bodies in chunks", size = 400, unfinishedChunks("/hold", 100, 2_000)),
    HostileCase("bodies far over the limit", size = 60, unfinishedChunks("/calm", 300, 65_536), pieceBytes = 65_536),
    HostileCase("announced bodies far over the limit", size = 200, unfinished("/calm", bodyBytes = 18_000_000)),
    HostileCase("very many short fields", size = 80, get("/hold", SHORT_HEADERS).toByteArray()),
    HostileCase(
        name = "very many short fields that stop short",
        size = 150,
        message = get("/hold", SHORT_HEADERS).toByteArray().dropLast(2).toByteArray(),
    ),
    HostileCase(
        name = "very many short fields behind a body",
        size = 150,
        message = unfinishedChunks("/hold", 1, 1) + "0\r\n$SHORT_HEADERS".toByteArray(),
    ),
    HostileCase("requests sent ahead", size = 60, get("/hold", SHORT_HEADERS).repeat(60).toByteArray()),
    HostileCase("requests sent ahead, without a route", size = 8, get("/nowhere").repeat(200_000).toByteArray()),
    HostileCase("slow senders of headers", size = 320, get("/calm").dropLast(2).toByteArray(), 1, maxDescriptors = 300),
    HostileCase("slow senders of bodies", size = 320, unfinished("/hold", 300), 10, maxDescriptors = 300),
    HostileCase("slow readers of large answers", size = 400, get("/large").toByteArray()),
    HostileCase(
        name = "slow readers of large answers, more than there are descriptors",
        size = 320,
        message = get("/large").toByteArray(),
        maxDescriptors = 300,
    ),
    HostileCase("readiness: bodies", size = 12, unfinished("/readyz", bodyBytes = 8_000_000), toReadiness = true),
    HostileCase("readiness: messages of peers", 12, unfinished("/peer/messages", 8_000_000), toReadiness = true),
    HostileCase(
        name = "readiness: very many short fields that stop short",
        size = 200,
        message = get("/readyz", "a:b\r\n".repeat(1_500)).toByteArray().dropLast(2).toByteArray(),
        toReadiness = true,
    ),
    HostileCase("readiness: sent ahead", 8, get("/metrics").repeat(20_000).toByteArray(), toReadiness = true),
    HostileCase(
        name = "readiness: slow senders",
        size = 320,
        message = get("/readyz").dropLast(2).toByteArray(),
        pieceBytes = 1,
        toReadiness = true,
        maxDescriptors = 300,
    ),
)

class HostileClientsTest :
    FunSpec({
        val upstreams = List(3) { HoldingUpstream() }

        afterSpec { upstreams.forEach { it.close() } }

        val pools = listOf("held" to 40, "large" to 400, "calm" to 4).zip(upstreams) { (name, concurrency), upstream ->
            "{name: $name, keyed: false, concurrency: $concurrency, connections: 400, upstreams: " +
                "[{id: $name-1, address: '127.0.0.1:${upstream.port}', zone: a}]}"
        }
        val routes = mapOf("/hold" to "held", "/large" to "large", "/calm" to "calm").map { (path, pool) ->
            "{name: $pool, path: $path, methods: [GET, POST], pool: $pool, open: true, deadlineMillis: 600000}"
        }
        val declaration = "zones: [a]\npools: [${pools.joinToString()}]\nroutes: [${routes.joinToString()}]\n"
        val knownFailures = KnownFailure.read()

        /** Checks that [daemon] serves callers and reports ready, within the memory and the descriptors of its VM. */
        fun check(daemon: DaemonProcess, maxDescriptors: Int) {
            val descriptors = daemon.descriptors()
            val served = daemon.statusOf(daemon.callers, get("/calm").toByteArray())
            val readiness = if (served == OK) daemon.statusOf(daemon.control, get("/readyz").toByteArray()) else null
            withClue(daemon.outputTail()) {
                withClue("the process lives") { daemon.isAlive shouldBe true }
                withClue("an ordinary request is answered") { served shouldBe OK }
                withClue("the VM reports ready") { readiness shouldBe OK }
                withClue("memory in MB") { daemon.peakMemoryMb() shouldBeLessThanOrEqualTo MAX_MEMORY_MB }
                withClue("descriptors") { descriptors shouldBeLessThanOrEqualTo maxDescriptors * 9 / 10 }
            }
        }

        for (case in CASES) {
            val name = "a VM outlives a crowd and serves an ordinary request: ${case.name}"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                DaemonProcess(declaration, case.maxDescriptors).use { daemon ->
                    val port = if (case.toReadiness) daemon.control else daemon.callers
                    Crowd(port, case.size, case.message, case.pieceBytes).use { crowd ->
                        crowd.send()
                        check(daemon, case.maxDescriptors)
                    }
                }
            }
        }

        test("a single request within the limits is served in calm") {
            DaemonProcess(declaration, maxDescriptors = 2_212).use { daemon ->
                val body = 16_777_216
                val upload = post("/calm", "content-length: $body\r\n").toByteArray() + ByteArray(body)
                daemon.statusOf(daemon.callers, upload) shouldBe OK
                daemon.statusOf(daemon.callers, get("/calm", SHORT_HEADERS).toByteArray()) shouldBe OK
                daemon.statusOf(daemon.callers, get("/large").toByteArray()) shouldBe OK
                check(daemon, maxDescriptors = 2_212)
            }
        }
    }) {
    private companion object {
        const val OK = 200

        /** The memory of the smallest VM. */
        const val MAX_MEMORY_MB = 290L
    }
}
