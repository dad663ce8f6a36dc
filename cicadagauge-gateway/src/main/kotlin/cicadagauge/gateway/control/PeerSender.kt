package cicadagauge.gateway.control

import cicadagauge.gateway.DeploymentSecret
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.log.EventLog
import cicadagauge.identity.Address
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import cicadagauge.store.MessageJson
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration

/** Receives the messages with which a peer answers. */
internal fun interface PeerReplyListener {
    /** [messages] have arrived from [from]. */
    fun replied(from: VmId, messages: List<PeerMessage>)
}

/**
 * Sends messages to peers. While [MAX_CALLS_IN_FLIGHT] calls to a peer are open, further messages to it are queued and
 * sent as one batch, so that the number of calls grows more slowly than that of messages. Messages that can't be
 * delivered are dropped, and the oldest ones when a queue is full.
 *
 * Short messages that answer a call at once travel in its response, which carries [identity] like a call. The process
 * that responds may be a later one at the same address, so its own id counts, not that of the VM that was called.
 */
internal class PeerSender(
    private val client: JsonHttpClient,
    private val timeout: Duration,
    val identity: Map<String, String>,
    private val log: EventLog,
    private val replies: PeerReplyListener,
) {
    private val queues = HashMap<VmId, PeerQueue>()
    private val secret = DeploymentSecret(identity.getValue(ProtocolHeaders.SECRET))
    private var openReply: OpenReply? = null

    /** Sends [message] to [to]. */
    fun send(to: VmId, address: Address, message: PeerMessage) {
        val reply = openReply?.takeIf { it.to == to }
        if (reply != null) reply.add(address, message) else enqueue(to, address, message)
    }

    /** Runs [action], and returns the messages to [to] that it sends as the response to a call, or null if none. */
    fun replyTo(to: VmId, action: () -> Unit): ByteArray? {
        val reply = OpenReply(to)
        openReply = reply
        try {
            action()
        } finally {
            openReply = null
        }
        val address = reply.address ?: return null
        val json = MessageJson.write(reply.messages)
        if (json.size < COMPRESSION_THRESHOLD_BYTES) return json
        reply.messages.forEach { enqueue(to, address, it) }
        return null
    }

    private fun enqueue(to: VmId, address: Address, message: PeerMessage) {
        val queue = queues.getOrPut(to) { PeerQueue() }
        queue.address = address
        if (queue.waiting.size >= MAX_QUEUED_MESSAGES) queue.waiting.removeFirst()
        queue.waiting.addLast(message)
        queue.flush()
    }

    private fun receive(result: CallResult) {
        if (result !is CallResult.Answered || !result.isSuccess || result.body.isEmpty()) return
        val from = result.header(ProtocolHeaders.VM)
        val messages = MessageJson.read(result.body).getOrNull()
        if (from == null || messages == null || !secret.matches(result.header(ProtocolHeaders.SECRET))) {
            return log.write("peer-reply-unreadable", "bytes" to result.body.size)
        }
        replies.replied(VmId(from), messages)
    }

    /** The messages to [to] that are to travel in the response to its call. */
    private class OpenReply(val to: VmId) {
        val messages = ArrayList<PeerMessage>()

        var address: Address? = null
            private set

        fun add(address: Address, message: PeerMessage) {
            this.address = address
            messages += message
        }
    }

    private inner class PeerQueue {
        val waiting = ArrayDeque<PeerMessage>()
        lateinit var address: Address
        private var callsInFlight = 0

        fun flush() {
            if (callsInFlight >= MAX_CALLS_IN_FLIGHT || waiting.isEmpty()) return
            val batch = ArrayList(waiting)
            waiting.clear()
            callsInFlight++
            client.exchange(callOf(MessageJson.write(batch))) { result ->
                callsInFlight--
                receive(result)
                flush()
            }
        }
    }

    private fun PeerQueue.callOf(json: ByteArray): JsonCall = if (json.size < COMPRESSION_THRESHOLD_BYTES) {
        JsonCall(address, ControlPaths.MESSAGES, json, timeout)
    } else {
        JsonCall(address, ControlPaths.MESSAGES, compressed(json), timeout, headers = GZIP_HEADERS)
    }

    private fun compressed(json: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream(json.size / 2)
        GZIPOutputStream(bytes).use { it.write(json) }
        return bytes.toByteArray()
    }

    private companion object {
        /** Ownership records take tens of kilobytes and compress to a tenth; a short message hardly shrinks. */
        const val COMPRESSION_THRESHOLD_BYTES = 1_500
        val GZIP_HEADERS = mapOf("Content-Encoding" to "gzip")
        const val MAX_CALLS_IN_FLIGHT = 2
        const val MAX_QUEUED_MESSAGES = 10_000
    }
}

/** The paths of a VM's control port. */
public object ControlPaths {
    /** Accepts messages of peers. */
    public const val MESSAGES: String = "/peer/messages"

    /** The status of the VM, as JSON. */
    public const val STATUS: String = "/status"

    /** Prometheus metrics. */
    public const val METRICS: String = "/metrics"

    /** Whether the process is alive. */
    public const val HEALTH: String = "/healthz"

    /** Whether the process accepts callers' requests. */
    public const val READY: String = "/readyz"
}

/** The paths of the platform's services. */
public object PlatformPaths {
    /** Where store calls go. */
    public const val STORE: String = "/v1/store"

    /** The list of VMs. */
    public const val VMS: String = "/v1/vms"
}
