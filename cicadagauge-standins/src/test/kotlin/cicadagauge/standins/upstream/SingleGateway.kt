package cicadagauge.standins.upstream

import cicadagauge.gateway.Gateway
import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.environment.DefaultEnvironment
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.NodeSettings
import cicadagauge.standins.store.StoreStandin
import cicadagauge.standins.vms.VmListStandin
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreRevision
import cicadagauge.store.StoredDeclaration
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration

/** A gateway in availability zone `a` with a store and a VM list of its own, and [declaration] in force. */
internal class SingleGateway(declaration: String) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val control = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val gateway: Gateway

    /** The number of requests that the gateway has not answered. */
    val pendingRequests: Int get() = gateway.statusNow().pendingRequests

    init {
        val store = StoreStandin(group, Address("127.0.0.1", 0)).start()
        val vm = Vm(VmId("vm-1"), control, callers, AvailabilityZone("a"))
        val list = VmListStandin(group, Address("127.0.0.1", 0), Duration.ZERO, listOf(vm)).start()
        val stored = StoredDeclaration(DeclarationVersion(1), OperationId("test"), declaration)
        store.write(StoreCall.Put(StoreKeys.DECLARATION, JsonDeclarationCodec().wrap(stored), StoreRevision.ABSENT))
        val settings = GatewaySettings(NodeSettings(vm.id, vm.zone), callers, control, secret = "secret")
        val environment = DefaultEnvironment(
            settings,
            store = Address("127.0.0.1", store.port),
            vmList = Address("127.0.0.1", list.port),
        )
        gateway = Gateway(settings, environment).start()
        while (!gateway.statusNow().ready) Thread.sleep(20)
    }

    /** Opens a connection to the callers' port. */
    fun connect(): Socket = Socket(callers.host, callers.port).apply {
        tcpNoDelay = true
        soTimeout = READ_TIMEOUT_MILLIS
    }

    override fun close() {
        gateway.kill()
        group.shutdownGracefully()
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 20_000
    }
}
