package cicadagauge.gateway.control

import cicadagauge.identity.Address
import cicadagauge.identity.VmId
import cicadagauge.peer.PeerMessage
import cicadagauge.store.MessageJson
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
            val body = MessageJson.write(batch)
            client.call(JsonCall(address, ControlPaths.MESSAGES, body, timeout)) {
                calls--
                flush()
            }
        }
    }

    private companion object {
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
