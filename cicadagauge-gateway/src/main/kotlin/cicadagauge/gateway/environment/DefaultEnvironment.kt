package cicadagauge.gateway.environment

import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.ProtocolHeaders
import cicadagauge.gateway.control.CancellableCall
import cicadagauge.gateway.control.JsonCall
import cicadagauge.gateway.control.JsonHttpClient
import cicadagauge.identity.Address
import cicadagauge.membership.Vm
import cicadagauge.node.Event
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.RangeOrder
import cicadagauge.ownership.RangeOrderOutcome
import cicadagauge.ownership.RangeOwner
import cicadagauge.store.Json
import cicadagauge.store.JsonCodecs
import cicadagauge.store.NodeCodecs
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreEra
import cicadagauge.store.StoreReply
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.type.TypeReference
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The router's own platform: its [store], its VM list at [vmList] and upstreams that implement its grant protocol. */
public class DefaultEnvironment(
    private val settings: GatewaySettings,
    private val store: Address,
    private val vmList: Address,
) : Environment {
    override val codecs: NodeCodecs = JsonCodecs.all()
    override val dialect: Dialect = DefaultDialect

    override fun warmUp(): Unit = Json.warmUp()

    override fun connect(loop: EventLoop, submit: (Event) -> Unit): PlatformClient = DefaultPlatformClient(loop, submit)

    private inner class DefaultPlatformClient(private val loop: EventLoop, private val submit: (Event) -> Unit) :
        PlatformClient {
        private val client = JsonHttpClient(loop, JsonHttpClient.authFields(settings.secret, settings.node.vm.value))
        private val times = settings.platform

        override fun start(): Unit = pollVms()

        /** Makes [call]; the router's own store has one era only, and tells none. */
        override fun store(call: StoreCall, reply: (StoreReply, StoreEra?) -> Unit): CancellableCall {
            val wait = if (call is StoreCall.Watch) call.wait else Duration.ZERO
            val body = STORE_WRITER.writeValueAsBytes(call)
            val jsonCall = JsonCall(
                target = store,
                path = PlatformPaths.STORE,
                body = body,
                timeout = times.storeCallTimeout + wait,
                maxResponseBytes = JsonCall.LARGE_RESPONSE_BYTES,
            )
            return client.call(jsonCall) { responseBody ->
                val parsed = responseBody?.let { parse { Json.mapper.readValue(it, StoreReply::class.java) } }
                reply(parsed ?: StoreReply.Unavailable, null)
            }
        }

        override fun grant(address: Address, order: GrantOrder) {
            val body = GRANT_WRITER.writeValueAsBytes(order)
            client.call(JsonCall(address, ProtocolHeaders.GRANT_PATH, body, times.grantCallTimeout)) { responseBody ->
                val report = responseBody?.let { parse { Json.mapper.readValue(it, GrantReport::class.java) } }
                if (report != null) submit(Event.GrantReported(report))
            }
        }

        /** Always rejected: the router's own upstreams take no range orders, and declarations can't ask for them. */
        override fun order(owner: RangeOwner, order: RangeOrder, onEnded: (RangeOrderOutcome) -> Unit): Unit =
            onEnded(RangeOrderOutcome.Rejected)

        /** Reads the VM list, then again after each poll interval. */
        private fun pollVms() {
            val call = JsonCall(
                target = vmList,
                path = PlatformPaths.VMS,
                body = null,
                timeout = times.storeCallTimeout,
                maxResponseBytes = JsonCall.LARGE_RESPONSE_BYTES,
            )
            client.call(call) { responseBody ->
                val vms = responseBody?.let { parse { Json.mapper.readValue(it, VMS) } }
                if (vms != null) submit(Event.VmsListed(vms))
                loop.schedule(::pollVms, times.vmListPollInterval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
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
