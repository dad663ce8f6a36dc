package cicadagauge.cli.hostile

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * [size] clients that send the same [message] in turn, [pieceBytes] at a time, read no answer and stay connected.
 */
internal class Crowd(port: Int, size: Int, message: ByteArray, private val pieceBytes: Int) : AutoCloseable {
    private val members = List(size) { Member(port, ByteBuffer.wrap(message)) }

    /** Sends until the other side has taken nothing from any client for a while. */
    fun send() {
        var quietRounds = 0
        while (quietRounds < QUIET_ROUNDS) {
            if (members.count { it.sendPiece() } > 0) {
                quietRounds = 0
            } else {
                quietRounds++
                Thread.sleep(QUIET_MILLIS)
            }
        }
    }

    override fun close(): Unit = members.forEach { it.close() }

    private inner class Member(port: Int, private val remaining: ByteBuffer) {
        private val channel = SocketChannel.open().apply {
            setOption(StandardSocketOptions.TCP_NODELAY, true)
            setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES)
            configureBlocking(false)
            connect(InetSocketAddress("127.0.0.1", port))
        }

        /** Sends the next piece or a part of it; returns false if that is impossible at present. */
        fun sendPiece(): Boolean = try {
            if (!channel.isOpen || !remaining.hasRemaining() || !(channel.isConnected || channel.finishConnect())) {
                false
            } else {
                val piece = remaining.duplicate().limit(minOf(remaining.limit(), remaining.position() + pieceBytes))
                val sent = channel.write(piece)
                remaining.position(remaining.position() + sent)
                sent > 0
            }
        } catch (_: IOException) {
            close()
            false
        }

        fun close(): Unit = channel.close()
    }

    private companion object {
        const val QUIET_ROUNDS = 50
        const val QUIET_MILLIS = 10L
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val SEND_BUFFER_BYTES = 65_536
    }
}
