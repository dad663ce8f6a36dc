package cicadagauge.gateway.control

import arrow.core.getOrElse
import cicadagauge.gateway.DeploymentSecret
import cicadagauge.gateway.NodeDriver
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.metrics.GatewayMetrics
import cicadagauge.identity.VmId
import cicadagauge.node.Event
import cicadagauge.node.NodeStatus
import cicadagauge.store.Json
import cicadagauge.store.MessageJson

/** Serves the control port of a VM. Status and messages require the [secret]; health, readiness and metrics don't. */
internal class ControlHandler(
    private val secret: DeploymentSecret,
    private val driver: NodeDriver,
    private val status: () -> NodeStatus,
    private val metrics: GatewayMetrics,
    private val peers: PeerSender,
) : JsonHandler {
    override fun handle(request: JsonRequest, answer: (JsonResponse?) -> Unit) {
        answer(answerTo(request))
    }

    override fun maxBodyBytes(header: (String) -> String?): Int =
        if (secret.matches(header(ProtocolHeaders.SECRET))) super.maxBodyBytes(header) else PUBLIC_BODY_BYTES

    /** Serves only the paths that need no secret; peers use the control port. */
    val publicHandler: JsonHandler = object : JsonHandler {
        override fun handle(request: JsonRequest, answer: (JsonResponse?) -> Unit) {
            val isPublic = request.path in PUBLIC_PATHS
            answer(if (isPublic) answerTo(request) else JsonResponse(NOT_FOUND))
        }

        override fun maxBodyBytes(header: (String) -> String?): Int = PUBLIC_BODY_BYTES
    }

    private fun answerTo(request: JsonRequest): JsonResponse = when (request.path) {
        ControlPaths.HEALTH -> JsonResponse(OK)
        ControlPaths.READY -> JsonResponse(if (status().ready) OK else UNAVAILABLE)
        ControlPaths.METRICS -> JsonResponse(OK, metrics.text(), "text/plain; version=0.0.4")
        ControlPaths.STATUS -> if (isAuthenticated(request)) {
            JsonResponse(OK, Json.mapper.writeValueAsBytes(status()))
        } else {
            JsonResponse(FORBIDDEN)
        }
        ControlPaths.MESSAGES -> receiveMessages(request)
        else -> JsonResponse(NOT_FOUND)
    }

    private fun receiveMessages(request: JsonRequest): JsonResponse {
        val from = request.header(ProtocolHeaders.VM)
        if (!isAuthenticated(request) || from == null) return JsonResponse(FORBIDDEN)
        val messages = MessageJson.read(request.body).getOrElse { return JsonResponse(BAD_REQUEST) }
        val sender = VmId(from)
        val reply = peers.replyTo(sender) { messages.forEach { driver.submit(Event.PeerMessageReceived(sender, it)) } }
        return if (reply == null) JsonResponse(NO_CONTENT) else JsonResponse(OK, reply, headers = peers.identity)
    }

    private fun isAuthenticated(request: JsonRequest): Boolean = secret.matches(request.header(ProtocolHeaders.SECRET))

    private companion object {
        val PUBLIC_PATHS = setOf(ControlPaths.HEALTH, ControlPaths.READY, ControlPaths.METRICS)

        /** How long the body of a request without the secret may be. */
        const val PUBLIC_BODY_BYTES = 4_096
        const val OK = 200
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
