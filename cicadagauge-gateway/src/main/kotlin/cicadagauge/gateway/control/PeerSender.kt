package cicadagauge.gateway.control

import cicadagauge.identity.Address
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import cicadagauge.store.MessageJson
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration

/**
 * Sends messages to peers. While a few calls to a peer are under way, further messages to it wait and go together,
 * so that the calls grow more slowly than the messages. Messages that can't be delivered are dropped.
 */
internal class PeerSender(private val client: JsonHttpClient, private val timeout: Duration) {
    private val links = HashMap<VmId, Link>()

    /** Sends [message] to [to]. */
    fun send(to: VmId, address: Address, message: PeerMessage) {
        val link = links.getOrPut(to) { Link() }
        link.address = address
        if (link.waiting.size >= MAX_WAITING) link.waiting.removeFirst()
        link.waiting.addLast(message)
        link.flush()
    }

    private inner class Link {
        val waiting = ArrayDeque<PeerMessage>()
        lateinit var address: Address
        private var calls = 0

        fun flush() {
            if (calls >= MAX_CALLS || waiting.isEmpty()) return
            val batch = ArrayList(waiting)
            waiting.clear()
            calls++
            val call = callOf(MessageJson.write(batch))
            client.call(call) {
                calls--
                flush()
            }
        }
    }

    private fun Link.callOf(text: ByteArray): JsonCall = if (text.size < COMPRESSED_FROM) {
        JsonCall(address, ControlPaths.MESSAGES, text, timeout)
    } else {
        JsonCall(address, ControlPaths.MESSAGES, compressed(text), timeout, headers = COMPRESSED)
    }

    private fun compressed(text: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream(text.size / 2)
        GZIPOutputStream(bytes).use { it.write(text) }
        return bytes.toByteArray()
    }

    private companion object {
        /** Ownership records take tens of kilobytes and shrink to a tenth; a short message hardly shrinks. Bytes. */
        const val COMPRESSED_FROM = 1_500
        val COMPRESSED = mapOf("Content-Encoding" to "gzip")
        const val MAX_CALLS = 2
        const val MAX_WAITING = 10_000
    }
}

/** The paths of a VM's control port. */
public object ControlPaths {
    /** Where peers send their messages. */
    public const val MESSAGES: String = "/peer/messages"

    /** What the VM knows, as JSON. */
    public const val STATUS: String = "/status"

    /** Prometheus metrics. */
    public const val METRICS: String = "/metrics"

    /** Whether the process lives. */
    public const val HEALTH: String = "/healthz"

    /** Whether the process takes callers' requests. */
    public const val READY: String = "/readyz"
}

/** The paths of the platform's services. */
public object PlatformPaths {
    /** Where store calls go. */
    public const val STORE: String = "/v1/store"

    /** The list of VMs. */
    public const val VMS: String = "/v1/vms"
}
