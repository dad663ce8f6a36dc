package cicadagauge.cli.hostile

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * An upstream that runs requests to `/hold` without reading their bodies or answering, answers those to `/large` with
 * [LARGE_BYTES], and all others with 200 once their bodies have arrived.
 */
internal class HoldingUpstream : AutoCloseable {
    private val listener = ServerSocket(0)
    val port: Int = listener.localPort

    init {
        thread(isDaemon = true) {
            try {
                while (true) listener.accept().let { thread(isDaemon = true) { it.use(::serve) } }
            } catch (_: IOException) {
                // Closed.
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val head = generateSequence { input.readHeadLine() }.takeWhile { it.isNotEmpty() }.toList()
                val path = head.firstOrNull()?.split(' ')?.get(1) ?: return
                if (path.startsWith("/hold")) return Thread.sleep(Long.MAX_VALUE)
                input.skipNBytes(lengthOf(head))
                val body = if (path.startsWith("/large")) LARGE_BYTES else 0
                val answerHead = "HTTP/1.1 200 OK\r\ncontent-length: $body\r\n\r\n"
                socket.getOutputStream().write(answerHead.toByteArray())
                repeat(body / BLOCK.size) { socket.getOutputStream().write(BLOCK) }
            }
        } catch (_: IOException) {
            // The other side has closed the connection.
        }
    }

    private fun InputStream.readHeadLine(): String? {
        val line = StringBuilder()
        while (true) {
            val next = read()
            if (next < 0) return null
            if (next == '\n'.code) return line.toString().trimEnd('\r')
            line.append(next.toChar())
        }
    }

    private fun lengthOf(head: List<String>): Long =
        head.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }?.substringAfter(':')?.trim()?.toLong()
            ?: 0L

    override fun close(): Unit = listener.close()

    private companion object {
        val BLOCK = ByteArray(65_536)
        val LARGE_BYTES = 64 * BLOCK.size
    }
}
