package cicadagauge.standins.deployment

import cicadagauge.gateway.GatewaySettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Settings under which no timeout of the router ends within a test, so that the verdict of a test over real sockets
 * doesn't depend on how busy the machine is. What happens at timeouts is tested in virtual time.
 */
internal object UntimedSettings {
    /** The value of every timeout: the longest deadline that a declaration may have. */
    val TIMEOUT: Duration = 10.minutes

    /** A rate that no test reaches. */
    private const val REQUESTS_PER_SECOND = 10_000_000.0

    /** [shape] with one customer, which never reaches its rate, and with deadlines of [TIMEOUT]. */
    fun of(shape: DeploymentShape): DeploymentShape =
        shape.copy(customerRates = listOf(REQUESTS_PER_SECOND), deadline = TIMEOUT)

    /** [settings] with timeouts of [TIMEOUT]. */
    fun of(settings: GatewaySettings): GatewaySettings {
        val node = settings.node
        return settings.copy(
            node = node.copy(
                ownership = node.ownership.copy(
                    lease = TIMEOUT,
                    grantAnswerTimeout = TIMEOUT,
                    dutyLease = TIMEOUT,
                    storeOutTimeout = TIMEOUT,
                ),
                budgets = node.budgets.copy(waiver = TIMEOUT, idleWaiver = TIMEOUT, answerTimeout = TIMEOUT),
                dispatch = node.dispatch.copy(
                    ownerWait = TIMEOUT,
                    stallTimeout = TIMEOUT,
                    homeAnswerTimeout = TIMEOUT,
                    homePingTimeout = TIMEOUT,
                ),
            ),
            limits = settings.limits.copy(
                idleTimeout = TIMEOUT,
                headTimeout = TIMEOUT,
                requestProgress = TIMEOUT,
            ),
            upstreams = settings.upstreams.copy(
                connectTimeout = TIMEOUT,
                idleTimeout = TIMEOUT,
                responseProgress = TIMEOUT,
            ),
            platform = settings.platform.copy(
                storeCallTimeout = TIMEOUT,
                grantCallTimeout = TIMEOUT,
                peerCallTimeout = TIMEOUT,
            ),
        )
    }
}
