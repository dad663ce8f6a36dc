package cicadagauge.standins.store

import cicadagauge.gateway.MonotonicClock
import cicadagauge.gateway.control.JsonHttpServer
import cicadagauge.gateway.control.JsonRequest
import cicadagauge.gateway.control.JsonResponse
import cicadagauge.gateway.environment.PlatformPaths
import cicadagauge.identity.Address
import cicadagauge.store.Json
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreReply
import com.fasterxml.jackson.core.JacksonException
import io.netty.channel.EventLoopGroup
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Serves a [StoreModel] over HTTP with JSON. `POST /v1/faults` sets the [StoreFaults] in effect. */
public class StoreStandin(private val group: EventLoopGroup, address: Address) {
    private val loop = group.next()
    private val model = StoreModel()
    private val server = JsonHttpServer(group, address) { request, respond ->
        loop.execute { handle(request, respond) }
    }
    private var faults = StoreFaults()

    /** The bound port, or the configured one before [start]. */
    public val port: Int get() = server.port

    /** Number of calls that the model has handled; those refused while the store is out are not counted. */
    public fun calls(): Long = loop.submit<Long> { model.calls }.get()

    /** Binds the address and serves requests; throws if binding fails. */
    public fun start(): StoreStandin {
        Json.warmUp()
        server.start()
        loop.scheduleAtFixedRate({
            model.expire(MonotonicClock.now())
        }, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        return this
    }

    /** Makes the write [call] as an operator's command would, unaffected by faults, and returns its reply. */
    public fun write(call: StoreCall): StoreReply {
        val reply = CompletableFuture<StoreReply>()
        loop.execute { model.handle(call, MonotonicClock.now(), reply::complete) }
        return reply.get()
    }

    /** Replaces the faults in effect by [newFaults]. */
    public fun injectFaults(newFaults: StoreFaults): Unit = loop.execute { faults = newFaults }

    /** Stops listening and closes every connection. */
    public fun close(): Unit = server.close()

    private fun handle(request: JsonRequest, respond: (JsonResponse?) -> Unit) {
        try {
            when (request.path) {
                PlatformPaths.STORE -> handle(Json.mapper.readValue(request.body, StoreCall::class.java), respond)
                FAULTS_PATH -> {
                    faults = Json.mapper.readValue(request.body, StoreFaults::class.java)
                    respond(JsonResponse(NO_CONTENT))
                }
                else -> respond(JsonResponse(NOT_FOUND))
            }
        } catch (_: JacksonException) {
            respond(JsonResponse(BAD_REQUEST))
        }
    }

    private fun handle(call: StoreCall, respond: (JsonResponse?) -> Unit) {
        if (faults.out) return respond(null)
        model.handle(call, MonotonicClock.now()) { reply -> send(reply, respond) }
    }

    private fun send(reply: StoreReply, respond: (JsonResponse?) -> Unit) {
        val lost = faults.out || (faults.loseAnswers && reply is StoreReply.Written)
        val body = if (lost) null else JsonResponse(OK, WRITER.writeValueAsBytes(reply))
        if (faults.delayMillis == 0L) return respond(body)
        loop.schedule({ respond(body) }, faults.delayMillis, TimeUnit.MILLISECONDS)
    }

    public companion object {
        /** HTTP path that takes [StoreFaults]. */
        public const val FAULTS_PATH: String = "/v1/faults"

        private const val EXPIRY_INTERVAL_MILLIS = 10L
        private const val OK = 200
        private const val NO_CONTENT = 204
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private val WRITER = Json.mapper.writerFor(StoreReply::class.java)
    }
}
