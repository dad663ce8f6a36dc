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
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration

/** An upstream that answers requests, but closes its listener and all connections on a body of [CRASHING_BODY]. */
private class FragileUpstream(private val crashes: AtomicInteger) {
    private val listener = ServerSocket(0)
    private val sockets = ArrayList<Socket>()
    val port: Int = listener.localPort

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                synchronized(sockets) { sockets += socket }
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (reader.readLine() != null) {
            while (reader.readLine()?.isNotEmpty() == true) Unit
            val body = CharArray(CRASHING_BODY.length)
            var read = 0
            while (read < body.size) read += reader.read(body, read, body.size - read)
            if (String(body) == CRASHING_BODY) return crash()
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".toByteArray())
        }
    }

    private fun crash() {
        crashes.incrementAndGet()
        listener.close()
        synchronized(sockets) { sockets.forEach { it.close() } }
    }

    companion object {
        const val CRASHING_BODY = "crash"
    }
}

class CrashingUpstreamTest :
    FunSpec({
        val crashes = AtomicInteger()
        val upstreams = List(5) { FragileUpstream(crashes) }
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val callers = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
        val control = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
        lateinit var gateway: Gateway

        beforeSpec {
            val store = StoreStandin(group, Address("127.0.0.1", 0)).start()
            val vm = Vm(VmId("vm-1"), control, callers, AvailabilityZone("a"))
            val list = VmListStandin(group, Address("127.0.0.1", 0), Duration.ZERO, listOf(vm)).start()
            val servers = upstreams.map { "{id: u-${it.port}, address: '127.0.0.1:${it.port}', zone: a}" }
            val text = """
            |zones: [a]
            |pools: [{name: p, keyed: false, upstreams: [${servers.joinToString()}]}]
            |routes:
            |  - {name: w, path: /w, methods: [POST], pool: p, open: true, deadlineMillis: 5000}
            """.trimMargin()
            val stored = StoredDeclaration(DeclarationVersion(1), OperationId("test"), text)
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

        afterSpec {
            gateway.kill()
            group.shutdownGracefully()
        }

        /** Sends a request whose body arrives in two parts, and returns the whole response. */
        fun exchange(body: String): String = Socket().use { socket ->
            socket.connect(InetSocketAddress(callers.host, callers.port))
            socket.tcpNoDelay = true
            socket.soTimeout = 20_000
            val head = "POST /w HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write((head + body.take(2)).toByteArray())
            Thread.sleep(20)
            socket.getOutputStream().write(body.drop(2).toByteArray())
            socket.getInputStream().readBytes().toString(Charsets.ISO_8859_1)
        }

        test("a request that has crashed two upstreams is refused as not run, and others on its path are served") {
            repeat(2) { exchange(FragileUpstream.CRASHING_BODY) shouldContain "upstream-broke" }
            val refusal = exchange(FragileUpstream.CRASHING_BODY)
            withClue(refusal) {
                refusal shouldContain "503 Service Unavailable"
                refusal shouldContain "x-cicadagauge-reason: quarantined"
                refusal shouldContain "x-cicadagauge-verdict: not-run"
                refusal shouldContain "retry-after: "
            }
            crashes.get() shouldBe 2
            exchange("other") shouldContain "HTTP/1.1 200"
        }
    })
