package cicadagauge.standins.upstream

import cicadagauge.standins.KnownFailure
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * An upstream that answers a request with [start] and then writes [repeated] until the other side closes the
 * connection.
 */
private class EndlessUpstream {
    private val listener = ServerSocket(0)
    val port: Int = listener.localPort

    @Volatile
    var start = ""

    @Volatile
    var repeated = ""

    /** The pause between two repetitions, in milliseconds. */
    @Volatile
    var interval = 0L

    /** Released when the other side has closed the connection of a request. */
    @Volatile
    var closed = CountDownLatch(1)

    init {
        thread(isDaemon = true) {
            while (true) listener.accept().let { thread(isDaemon = true) { it.use(::serve) } }
        }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        if (reader.readLine() == null) return
        while (reader.readLine()?.isNotEmpty() == true) Unit
        try {
            val out = socket.getOutputStream()
            out.write(start.toByteArray(Charsets.ISO_8859_1))
            while (true) {
                out.write(repeated.toByteArray(Charsets.ISO_8859_1))
                if (interval > 0) Thread.sleep(interval)
            }
        } catch (_: SocketException) {
            closed.countDown()
        }
    }
}

/**
 * What the upstream sends, and what the caller must and must not read. The caller stops reading at [expected]; where
 * that is null, it reads until its connection is closed.
 */
private class EndlessCase(
    val name: String,
    val start: String,
    val repeated: String,
    val expected: String?,
    val unexpected: String? = null,
    val interval: Long = 0,
)

class EndlessUpstreamTest :
    FunSpec({
        val upstream = EndlessUpstream()
        val gateway = SingleGateway(
            """
            |zones: [a]
            |pools: [{name: p, keyed: false, upstreams: [{id: u, address: '127.0.0.1:${upstream.port}', zone: a}]}]
            |routes: [{name: w, path: /w, methods: [POST], pool: p, open: true, deadlineMillis: 1500}]
            """.trimMargin(),
        )

        afterSpec { gateway.close() }

        /** Sends a request and reads until [expected] or the end of the connection, which must not hang. */
        fun exchange(expected: String?): String = gateway.connect().use { socket ->
            val head = "POST /w HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val answer = StringBuilder()
            val buffer = ByteArray(4_096)
            val hangsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS)
            while (expected == null || expected !in answer) {
                check(System.nanoTime() < hangsAt) { "the caller's connection is still open" }
                val length = socket.getInputStream().read(buffer)
                if (length < 0) break
                answer.append(String(buffer, 0, length, Charsets.ISO_8859_1))
            }
            answer.toString()
        }

        val chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        val complete = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        val notRun = "HTTP/1.1 503 Busy\r\nx-cicadagauge-verdict: not-run\r\n"
        val cases = listOf(
            EndlessCase("a status line without end", "HTTP/1.1 200 ", "x".repeat(1_000), "upstream-broke"),
            EndlessCase("a header without end", "HTTP/1.1 200 OK\r\na: ", "x".repeat(1_000), "upstream-broke"),
            EndlessCase("headers without end", "HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(99), "upstream-broke"),
            EndlessCase("bytes that are no response", "", "\u0001\u0002zz".repeat(99), "upstream-broke"),
            EndlessCase("empty lines without end", "", "\r\n".repeat(999), "upstream-broke"),
            EndlessCase(
                name = "informational responses without end",
                start = "",
                repeated = "HTTP/1.1 102 Processing\r\n\r\n",
                expected = "upstream-broke",
            ),
            EndlessCase(
                name = "the body of a refusal without end",
                start = "$notRun" + "transfer-encoding: chunked\r\n\r\n",
                repeated = "1\r\nx\r\n".repeat(99),
                expected = "not-run",
                unexpected = "may-have-run",
            ),
            EndlessCase(
                name = "the trailer of a refusal without end",
                start = "$notRun" + "transfer-encoding: chunked\r\n\r\n0\r\n",
                repeated = "a: b\r\n".repeat(99),
                expected = "not-run",
                unexpected = "may-have-run",
            ),
            EndlessCase("a body without end", chunked, "3e8\r\n${"x".repeat(1_000)}\r\n", "x".repeat(500)),
            // Guards against callers that are kept waiting without end by an answer that goes on (review case 10).
            EndlessCase(
                name = "a body without end whose caller reads on",
                start = chunked,
                repeated = "1\r\nx\r\n",
                expected = null,
                unexpected = "\r\n0\r\n",
                interval = 50L,
            ),
            EndlessCase(
                name = "a chunk length without end",
                start = "${chunked}1\r\nx\r\n",
                repeated = "0".repeat(999),
                expected = null,
                unexpected = "\r\n0\r\n",
            ),
            EndlessCase("bytes after a response", complete, "z".repeat(99), "ok"),
            EndlessCase("empty lines after a response", complete, "\r\n", "ok"),
        )

        val knownFailures = KnownFailure.read()

        for (case in cases) {
            val name = "an upstream that writes without end is cut off, and the caller is answered: ${case.name}"
            test(name).config(enabled = knownFailures.none { it.test == name }) {
                upstream.closed = CountDownLatch(1)
                upstream.start = case.start
                upstream.repeated = case.repeated
                upstream.interval = case.interval
                val answer = exchange(case.expected)
                withClue(answer.take(400)) {
                    case.expected?.let { answer shouldContain it }
                    case.unexpected?.let { answer shouldNotContain it }
                }
                withClue("the connection to the upstream was not closed") {
                    upstream.closed.await(HANG_SECONDS, TimeUnit.SECONDS) shouldBe true
                }
            }
        }
    }) {
    private companion object {
        /** Longer than any of the gateway's time-outs that could close the connection. */
        const val HANG_SECONDS = 20L
    }
}
