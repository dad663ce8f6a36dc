package cicadagauge.standins.vms

import cicadagauge.gateway.control.JsonHttpServer
import cicadagauge.gateway.control.JsonRequest
import cicadagauge.gateway.control.JsonResponse
import cicadagauge.gateway.environment.PlatformPaths
import cicadagauge.identity.Address
import cicadagauge.membership.Vm
import cicadagauge.store.Json
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.type.TypeReference
import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * A stand-in for the platform's VM list, served over HTTP as JSON. The initial [vms] are visible at once; a list that
 * is posted or passed to [publish] becomes visible after [lag].
 */
public class VmListStandin(group: EventLoopGroup, address: Address, private val lag: Duration, vms: List<Vm>) {
    private val loop = group.next()
    private val server = JsonHttpServer(group, address) { request, respond ->
        loop.execute { handle(request, respond) }
    }
    private var visibleVms = vms

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.port

    /** Binds the address and serves requests; throws if binding fails. */
    public fun start(): VmListStandin {
        server.start()
        return this
    }

    /** Replaces the list by [vms] once [lag] has passed. */
    public fun publish(vms: List<Vm>) {
        loop.schedule({ visibleVms = vms }, lag.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Stops listening and closes every connection. */
    public fun close(): Unit = server.close()

    private fun handle(request: JsonRequest, respond: (JsonResponse?) -> Unit) {
        if (request.path != PlatformPaths.VMS) return respond(JsonResponse(NOT_FOUND))
        if (request.method == "GET") return respond(JsonResponse(OK, WRITER.writeValueAsBytes(visibleVms)))
        try {
            publish(Json.mapper.readValue(request.body, VMS))
            respond(JsonResponse(NO_CONTENT))
        } catch (_: JacksonException) {
            respond(JsonResponse(BAD_REQUEST))
        }
    }

    private companion object {
        val VMS = object : TypeReference<List<Vm>>() {}
        val WRITER = Json.mapper.writerFor(VMS)
        const val OK = 200
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
    }
}
