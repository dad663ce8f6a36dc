package cicadagauge.standins.upstream

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * An upstream that writes the bytes that [answer] returns for the number of a request, counted from 1, and then closes
 * the connection. For null it writes nothing and keeps the connection open.
 */
private class RawUpstream {
    private val listener = ServerSocket(0)
    val port: Int = listener.localPort
    val requests = AtomicInteger()

    @Volatile
    var answer: (Int) -> String? = { null }

    init {
        thread(isDaemon = true) {
            while (true) listener.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val reader = it.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        // A connection that is closed without a request only checks that the upstream accepts connections.
        if (reader.readLine() == null) return@use
        while (reader.readLine()?.isNotEmpty() == true) Unit
        val bytes = answer(requests.incrementAndGet())
        if (bytes == null) reader.read() else it.getOutputStream().write(bytes.toByteArray(Charsets.ISO_8859_1))
    }
}

/**
 * What the upstream sends, and what must and must not reach the caller. [attempts] is how many requests the upstream
 * must receive, null where it is not checked.
 */
private class Case(
    val name: String,
    val method: String,
    val answer: (Int) -> String?,
    val expected: List<String>,
    val unexpected: List<String> = emptyList(),
    val attempts: Int? = null,
)

class UpstreamContractTest :
    FunSpec({
        val upstream = RawUpstream()
        val gateway = SingleGateway(
            """
            |zones: [a]
            |pools: [{name: p, keyed: false, upstreams: [{id: u, address: '127.0.0.1:${upstream.port}', zone: a}]}]
            |routes:
            |  - {name: r, path: /r, methods: [GET], pool: p, idempotent: true, open: true, deadlineMillis: 1500}
            |  - {name: w, path: /w, methods: [POST], pool: p, open: true, deadlineMillis: 1500}
            """.trimMargin(),
        )

        afterSpec { gateway.close() }

        fun exchange(method: String): String = gateway.connect().use { socket ->
            val path = if (method == "GET") "/r" else "/w"
            val head = "$method $path HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            runCatching { socket.getInputStream().readBytes() }.getOrDefault(ByteArray(0)).toString(Charsets.ISO_8859_1)
        }

        val completeResponse = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"
        val notRunResponse = "HTTP/1.1 503 Busy\r\nx-cicadagauge-verdict: not-run\r\ncontent-length: 0\r\n\r\n"

        val cases = listOf(
            Case("a complete response", "GET", { completeResponse }, listOf("HTTP/1.1 200", "whole"), attempts = 1),
            Case(
                name = "a POST is not retried after the connection closed without a response",
                method = "POST",
                answer = { "" },
                expected = listOf("502", "may-have-run", "upstream-broke"),
                attempts = 1,
            ),
            Case(
                name = "an idempotent GET is retried after the connection closed without a response",
                method = "GET",
                answer = { if (it == 1) "" else completeResponse },
                expected = listOf("200", "whole"),
                attempts = 2,
            ),
            Case(
                name = "a POST is retried after the verdict not-run",
                method = "POST",
                answer = { if (it == 1) notRunResponse else completeResponse },
                expected = listOf("200"),
                attempts = 2,
            ),
            Case(
                name = "a response shorter than its content length is not passed on as complete",
                method = "GET",
                answer = { "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\npart" },
                expected = listOf("content-length: 50"),
                attempts = 1,
            ),
            Case(
                name = "a chunked response that breaks off is passed on without a last chunk",
                method = "GET",
                answer = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n" },
                expected = listOf("transfer-encoding: chunked"),
                unexpected = listOf("0\r\n\r\n"),
            ),
            Case(
                name = "a response that is delimited by the end of the connection is rejected",
                method = "POST",
                answer = { "HTTP/1.1 200 OK\r\n\r\nall?" },
                expected = listOf("502"),
                unexpected = listOf("all?"),
            ),
            Case(
                name = "a reason header that the upstream forged is removed",
                method = "GET",
                answer = { completeResponse.replace("\r\n\r\n", "\r\nx-cicadagauge-reason: x\r\n\r\n") },
                expected = listOf("200"),
                unexpected = listOf("-reason"),
            ),
            Case(
                name = "a request that the upstream does not answer ends at its deadline",
                method = "POST",
                answer = { null },
                expected = listOf("504", "deadline-during-run", "may-have-run"),
                attempts = 1,
            ),
            Case("the request after a timeout succeeds", "GET", { completeResponse }, listOf("200", "whole")),
        )

        test("each kind of upstream response and failure reaches the caller as specified") {
            for (case in cases) {
                upstream.requests.set(0)
                upstream.answer = case.answer
                val answer = exchange(case.method)
                withClue("${case.name}: $answer") {
                    case.expected.forEach { answer shouldContain it }
                    case.unexpected.forEach { answer shouldNotContain it }
                    case.attempts?.let { upstream.requests.get() shouldBe it }
                }
            }
            gateway.pendingRequests shouldBe 0
        }
    })
