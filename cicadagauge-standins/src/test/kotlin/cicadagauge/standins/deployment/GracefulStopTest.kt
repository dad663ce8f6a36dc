package cicadagauge.standins.deployment

import cicadagauge.identity.Address
import cicadagauge.standins.load.LoadGenerator
import cicadagauge.standins.load.LoadRequest
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GracefulStopTest :
    FunSpec({
        test("a graceful stop answers every request that the VM has accepted, and the other VM keeps serving") {
            val shape = UntimedSettings.of(
                DeploymentShape.HOSHIZORA.copy(
                    pools = DeploymentShape.HOSHIZORA.pools.map { it.copy(upstreamCount = 4) },
                    entryVms = 2,
                ),
            )
            val deployment = InProcessDeployment(
                shape,
                vmCount = 2,
                portBase = 28_700,
                service = 50.milliseconds,
                coldTime = Duration.ZERO,
                adjust = UntimedSettings::of,
            ).start(UntimedSettings.TIMEOUT)
            val stopResults = ArrayList<Boolean>()
            val stopThread = thread(start = false) {
                stopResults += deployment.gateways.first().stop(UntimedSettings.TIMEOUT)
            }
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val stoppingVm: Address = deployment.callers.first()
            val remainingVm: Address = deployment.callers.last()
            val figures = LoadGenerator(group).run(
                ratePerSecond = 40,
                duration = 4.seconds,
                drainTimeout = UntimedSettings.TIMEOUT,
            ) { number ->
                if (number == REQUESTS_BEFORE_STOP) stopThread.start()
                val target = if (number < REQUESTS_BEFORE_STOP) stoppingVm else remainingVm
                LoadRequest(
                    target,
                    "GET",
                    "/catalogue/club-$number",
                    shape.apiKeyOf("customer-1"),
                    if (number < REQUESTS_BEFORE_STOP) "stopping" else "remaining",
                )
            }
            stopThread.join()
            deployment.stop()
            group.shutdownGracefully()
            withClue(
                figures.mapValues { (_, it) ->
                    "sent ${it.sent} answered ${it.answered} refused ${it.reasons} lost ${it.lost}"
                },
            ) {
                stopResults shouldBe listOf(true)
                figures.values.sumOf { it.lost } shouldBe 0L
                figures.values.sumOf { it.answered } shouldBe 160L
                figures.getValue("stopping").answered shouldBe REQUESTS_BEFORE_STOP.toLong()
            }
        }
    })

/** How many requests go to the first VM before its stop begins. */
private const val REQUESTS_BEFORE_STOP = 44
