package cicadagauge.gateway

import cicadagauge.identity.Address
import cicadagauge.node.NodeSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one gateway process is told at its start. Other VMs relay requests to [relays], which may be the callers' port.
 * With [readiness] there is one more port that tells health, readiness and metrics. [secret] proves VMs to each other
 * and to upstreams. Where callers have a port of their own it is opened once there is a declaration, or after
 * [openLimit]: from then on callers are told that there is none.
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
    val platform: PlatformTimes = PlatformTimes(),
    val stop: StopTimes = StopTimes(),
    val openLimit: Duration = 3.seconds,
)

/**
 * Times of a planned stop: [drainDelay] is how long it goes on taking requests, so that callers are sent
 * elsewhere.
 */
public data class StopTimes(val drainDelay: Duration = 1.seconds) {
    public companion object {
        /** A balancer that asks once a second and believes the second refusal sends nobody after this. */
        public fun forBalancerThatAsksEverySecond(): StopTimes = StopTimes(drainDelay = 2_600.milliseconds)
    }
}

/** Bounds on what callers may send and hold. Sizes are in bytes. */
public data class CallerLimits(
    val connections: Int = 10_000,
    val requestLineBytes: Int = 8_192,
    val headerBytes: Int = 16_384,
    val body: Long = 16_777_216,
    val replayBufferBytes: Int = 65_536,
    val idle: Duration = 60.seconds,
    val requestProgress: Duration = 10.seconds,
)

/** Bounds on connections to upstreams. */
public data class UpstreamLimits(
    val connect: Duration = 300.milliseconds,
    val idle: Duration = 30.seconds,
    val responseProgress: Duration = 10.seconds,
) {
    public companion object {
        /** Connections are given up well before upstreams that close them after ten idle seconds do so. */
        public fun forUpstreamsThatCloseEarly(): UpstreamLimits = UpstreamLimits(idle = 5.seconds)
    }
}

/** Times of calls on the platform and on peers. */
public data class PlatformTimes(
    val storeCallTimeout: Duration = 400.milliseconds,
    val vmListPollInterval: Duration = 500.milliseconds,
    val grantCallTimeout: Duration = 300.milliseconds,
    val peerCallTimeout: Duration = 500.milliseconds,
)
