package cicadagauge.gateway

import cicadagauge.identity.Address
import cicadagauge.node.NodeSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one gateway process.
 *
 * @property node settings of the node that decides about requests
 * @property callers address on which callers connect
 * @property control address of the control port, for peers and operators
 * @property secret shared secret that authenticates VMs to each other and to upstreams
 * @property relays address to which other VMs relay requests; may be the callers' address
 * @property readiness address of an additional port that serves only health, readiness and metrics; null for none
 * @property limits bounds on callers' connections and requests
 * @property upstreams bounds on connections to upstreams
 * @property memory bounds on what callers make this process hold
 * @property descriptors how many file descriptors the process may have, or null if that is not known
 * @property platform timeouts of calls to the platform and to peers
 * @property stop times of a planned stop
 * @property maxOpenDelay maximum time after the start for which the callers' port stays closed because there is no
 * declaration yet. The port is opened as soon as there is one; after this limit it is opened anyway, and callers are
 * answered that there is none. Applies only where [callers] and [relays] differ.
 */
public data class GatewaySettings(
    val node: NodeSettings,
    val callers: Address,
    val control: Address,
    val secret: String,
    val relays: Address = callers,
    val readiness: Address? = null,
    val limits: CallerLimits = CallerLimits(),
    val upstreams: UpstreamLimits = UpstreamLimits(),
    val memory: MemoryLimits = MemoryLimits(),
    val descriptors: Int? = null,
    val platform: PlatformTimes = PlatformTimes(),
    val stop: StopTimes = StopTimes(),
    val maxOpenDelay: Duration = 3.seconds,
)

/**
 * Times of a planned stop.
 *
 * @property drainDelay how long the VM goes on accepting requests after it has reported not ready, so that load
 * balancers direct callers elsewhere
 * @property answerReserve how long before the end of the stop no request is sent to an upstream any more; those that
 * wait are refused
 */
public data class StopTimes(val drainDelay: Duration = 1.seconds, val answerReserve: Duration = 500.milliseconds) {
    public companion object {
        /**
         * For load balancers that check readiness every second and remove a VM after the second failed check: they
         * send it no callers after this delay.
         */
        public fun forOneSecondHealthChecks(): StopTimes = StopTimes(drainDelay = 2_600.milliseconds)
    }
}

/**
 * Bounds on callers' connections and requests.
 *
 * @property connections maximum number of open connections. A further one takes the place of one that is idle or makes
 * no progress; where there is none, it is closed at once.
 * @property requestLineBytes maximum length of a request line
 * @property headerBytes maximum total length of a request's headers
 * @property maxBodyBytes maximum length of a request body in bytes
 * @property replayBufferBytes how much of a request body is retained, so that the request can be sent again if it did
 * not run
 * @property readAheadRequests how many requests behind an unanswered one are read at most
 * @property readAheadBytes how many bytes of further requests are buffered before reading from the connection pauses
 * @property idleTimeout how long a caller may send nothing, between requests or within one, before its connection is
 * closed; fractions of a second are ignored
 * @property headTimeout how long the head of a request may take after its first byte; whole seconds
 * @property requestProgress how long the body of a request may make no progress while it is being read; whole seconds
 */
public data class CallerLimits(
    val connections: Int = 10_000,
    val requestLineBytes: Int = 8_192,
    val headerBytes: Int = 16_384,
    val maxBodyBytes: Long = 16_777_216,
    val replayBufferBytes: Int = 65_536,
    val readAheadRequests: Int = 8,
    val readAheadBytes: Int = 65_536,
    val idleTimeout: Duration = 60.seconds,
    val headTimeout: Duration = 10.seconds,
    val requestProgress: Duration = 20.seconds,
)

/**
 * Bounds on what callers make a process hold in memory.
 *
 * @property heldBytes how many bytes may be held for all callers together, as estimated. From half of them on, reading
 * pauses on the connections that hold most; at all of them, requests are refused.
 * @property connectionFloorBytes how much each connection may hold without a pause
 */
public data class MemoryLimits(val heldBytes: Long = defaultHeldBytes(), val connectionFloorBytes: Long = 8_192) {
    private companion object {
        /** The part of the heap that is held for callers at most; the rest is for the node and for garbage. */
        const val PART_OF_HEAP = 0.375

        fun defaultHeldBytes(): Long = (Runtime.getRuntime().maxMemory() * PART_OF_HEAP).toLong()
    }
}

/**
 * How the descriptors of a process are divided. The rest is for upstreams, peers and the store.
 *
 * @property callers connections of callers and of VMs that relay requests
 * @property control connections of peers and operators
 * @property readiness connections of health checks
 */
internal class DescriptorShares(total: Int) {
    private val sockets = maxOf(0, total - RESERVED_FOR_FILES)

    val callers: Int = maxOf(MIN_CONNECTIONS, sockets / 2)
    val control: Int = maxOf(MIN_CONNECTIONS, sockets / 8)
    val readiness: Int = maxOf(MIN_CONNECTIONS, sockets / 16)

    private companion object {
        /** Descriptors for the program's own files. */
        const val RESERVED_FOR_FILES = 200
        const val MIN_CONNECTIONS = 8
    }
}

/**
 * Bounds on connections to upstreams.
 *
 * @property connectTimeout timeout for establishing a connection
 * @property idleTimeout how long a connection may be unused before it is closed; fractions of a second are ignored
 * @property responseProgress how long a response that has begun may make no progress before its connection is closed;
 * a pause because the caller reads slowly counts as well
 * @property overdueProgress the same after the request's deadline, without pauses because the caller reads slowly
 * @property overdueResponse how long after the request's deadline a response may last that makes progress, without
 * pauses because the caller reads slowly; of these, [responseProgress] in all are excluded
 */
public data class UpstreamLimits(
    val connectTimeout: Duration = 300.milliseconds,
    val idleTimeout: Duration = 30.seconds,
    val responseProgress: Duration = 10.seconds,
    val overdueProgress: Duration = 250.milliseconds,
    val overdueResponse: Duration = 400.milliseconds,
) {
    public companion object {
        /** For upstreams that close connections after 10 s without traffic: this side closes them well before. */
        public fun forTenSecondUpstreamIdleTimeout(): UpstreamLimits = UpstreamLimits(idleTimeout = 5.seconds)
    }
}

/**
 * Timeouts of calls to the platform and to peers.
 *
 * @property storeCallTimeout timeout of a store call, to which a watch adds its waiting time, and of a read of the VM
 * list
 * @property vmListPollInterval pause between the end of one read of the VM list and the next read
 * @property grantCallTimeout timeout of a grant order to an upstream
 * @property peerCallTimeout timeout of a call that delivers messages to a peer
 */
public data class PlatformTimes(
    val storeCallTimeout: Duration = 400.milliseconds,
    val vmListPollInterval: Duration = 500.milliseconds,
    val grantCallTimeout: Duration = 300.milliseconds,
    val peerCallTimeout: Duration = 500.milliseconds,
)
