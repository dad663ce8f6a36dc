package cicadagauge.gateway.control

import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.identity.Address
import cicadagauge.membership.Vm
import cicadagauge.node.Event
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.store.Json
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreCallId
import cicadagauge.store.StoreReply
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.type.TypeReference
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Calls the store, polls the VM list and sends grant orders; each answer becomes an event for [submit]. */
internal class PlatformClient(
    private val settings: GatewaySettings,
    private val client: JsonHttpClient,
    private val loop: EventLoop,
    private val submit: (Event) -> Unit,
) {
    private val times = settings.platform

    /** Makes [call] on the store. */
    fun store(id: StoreCallId, call: StoreCall) {
        val wait = if (call is StoreCall.Watch) call.wait else Duration.ZERO
        val body = STORE_WRITER.writeValueAsBytes(call)
        client.call(JsonCall(settings.store, PlatformPaths.STORE, body, times.storeCall + wait)) { answer ->
            val reply = answer?.let { parse { Json.mapper.readValue(it, StoreReply::class.java) } }
            submit(Event.StoreReplied(id, reply ?: StoreReply.Unavailable))
        }
    }

    /** Sends [order] to the upstream at [address]. */
    fun grant(address: Address, order: GrantOrder) {
        val body = GRANT_WRITER.writeValueAsBytes(order)
        client.call(JsonCall(address, ProtocolHeaders.GRANT_PATH, body, times.grantCall)) { answer ->
            val report = answer?.let { parse { Json.mapper.readValue(it, GrantReport::class.java) } }
            if (report != null) submit(Event.GrantReported(report))
        }
    }

    /** Reads the VM list now and then again and again. */
    fun pollVms() {
        client.call(JsonCall(settings.vmList, PlatformPaths.VMS, null, times.storeCall)) { answer ->
            val vms = answer?.let { parse { Json.mapper.readValue(it, VMS) } }
            if (vms != null) submit(Event.VmsListed(vms))
            loop.schedule(::pollVms, times.vmListPoll.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    private fun <T> parse(read: () -> T): T? = try {
        read()
    } catch (_: JacksonException) {
        null
    }

    private companion object {
        val VMS = object : TypeReference<List<Vm>>() {}
        val STORE_WRITER = Json.mapper.writerFor(StoreCall::class.java)
        val GRANT_WRITER = Json.mapper.writerFor(GrantOrder::class.java)
    }
}
