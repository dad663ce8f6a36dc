package cicadagauge.standins.deployment

import cicadagauge.declaration.DeclarationWriter
import cicadagauge.gateway.Gateway
import cicadagauge.gateway.GatewaySettings
import cicadagauge.gateway.environment.DefaultEnvironment
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.NodeSettings
import cicadagauge.standins.store.StoreFaults
import cicadagauge.standins.store.StoreStandin
import cicadagauge.standins.upstream.UpstreamSettings
import cicadagauge.standins.upstream.UpstreamStandin
import cicadagauge.standins.vms.VmListStandin
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import cicadagauge.store.StoredDeclaration
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs [vmCount] entry VMs, the store, the VM list and the upstreams of [shape] on loopback in this process.
 *
 * The entry VM with number n, counted from 1, takes callers on port [portBase] + n and control traffic on port
 * [portBase] + 20 + n; everything else is bound to free ports. [service] is the service time of every upstream, and
 * [coldTime] is how long it is cold after its start. [adjust] changes the settings of each entry VM.
 */
public class InProcessDeployment(
    private val shape: DeploymentShape,
    private val vmCount: Int,
    private val portBase: Int,
    private val service: Duration = 5.milliseconds,
    private val coldTime: Duration = 1.seconds,
    private val adjust: (GatewaySettings) -> GatewaySettings = { it },
) {
    private val platformLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val upstreamLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val upstreams = LinkedHashMap<UpstreamId, UpstreamStandin>()
    private val store = StoreStandin(platformLoops, Address(HOST, 0))
    private val vms = (1..vmCount).map {
        Vm(
            VmId("vm-$it"),
            controlAddress(it),
            callerAddress(it),
            AvailabilityZone(shape.zones[it % shape.zones.size]),
        )
    }
    private val vmList = VmListStandin(platformLoops, Address(HOST, 0), 1.seconds, vms)

    /** The gateways, in the order of their numbers. */
    public val gateways: MutableList<Gateway> = ArrayList()

    /** The address of each entry VM for callers. */
    public val callers: List<Address> = (1..vmCount).map(::callerAddress)

    /** The address of each entry VM for operators and other VMs. */
    public val controls: List<Address> = vms.map { it.address }

    /** The address of the store. */
    public val storeAddress: Address get() = Address(HOST, store.port)

    /** Number of calls that the store has handled. */
    public val storeCalls: Long get() = store.calls()

    /**
     * Starts everything and waits until every entry VM is ready; throws [IllegalStateException] where that takes longer
     * than [limit].
     */
    public fun start(limit: Duration = 20.seconds): InProcessDeployment {
        store.start()
        vmList.start()
        val declaration = shape.declaration(::startUpstream)
        writeDeclaration(DeclarationWriter.write(declaration))
        for (number in 1..vmCount) gateways += gateway(adjust(settings(number))).start()
        val deadline = System.nanoTime() + limit.inWholeNanoseconds
        while (gateways.any { !it.statusNow().ready }) {
            check(System.nanoTime() < deadline) { "the entry VMs did not become ready within $limit" }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        return this
    }

    /** Number of requests that each upstream of [pool] has served. */
    public fun served(pool: PoolName): List<Long> =
        upstreams.filterKeys { it.value.startsWith("$pool-") }.values.map { it.read { model -> model.served } }

    /** Number of requests that upstreams refused because their concurrency limit was reached. */
    public fun overloads(): Long = upstreams.values.sumOf { it.read { model -> model.overloads } }

    /** Replaces the faults of the store by [faults]. */
    public fun injectStoreFaults(faults: StoreFaults): Unit = store.injectFaults(faults)

    /** Stops everything and returns whether each gateway answered all its open requests, within 5 s. */
    public fun stop(): Boolean {
        val allAnswered = gateways.map { it.stop(5.seconds) }.all { it }
        upstreams.values.forEach { it.close() }
        store.close()
        vmList.close()
        platformLoops.shutdownGracefully()
        upstreamLoops.shutdownGracefully()
        return allAnswered
    }

    private fun startUpstream(id: UpstreamId): Address {
        val pool = shape.pools.first { id.value.substringBeforeLast('-') == it.name }
        val upstreamSettings = UpstreamSettings(
            id = id,
            pool = PoolName(pool.name),
            keyed = pool.keyed,
            concurrency = shape.concurrency,
            service = service,
            coldTime = coldTime,
        )
        val standin = UpstreamStandin(upstreamLoops, Address(HOST, 0), upstreamSettings, SECRET).start()
        upstreams[id] = standin
        return Address(HOST, standin.port)
    }

    private fun writeDeclaration(text: String) {
        val stored = StoredDeclaration(DeclarationVersion(1), OperationId("local"), text)
        val put = StoreCall.Put(StoreKeys.DECLARATION, JsonDeclarationCodec().wrap(stored), StoreRevision.ABSENT)
        check(store.write(put) is StoreReply.Written) { "the store refused the first declaration" }
    }

    private fun settings(number: Int) = GatewaySettings(
        node = NodeSettings(vm = vms[number - 1].id, zone = vms[number - 1].zone),
        callers = callers[number - 1],
        control = vms[number - 1].address,
        secret = SECRET,
    )

    private fun gateway(settings: GatewaySettings) =
        Gateway(settings, DefaultEnvironment(settings, storeAddress, Address(HOST, vmList.port)))

    private fun callerAddress(number: Int) = Address(HOST, portBase + number)

    private fun controlAddress(number: Int) = Address(HOST, portBase + CONTROL_PORT_OFFSET + number)

    public companion object {
        private const val HOST = "127.0.0.1"
        private const val CONTROL_PORT_OFFSET = 20
        private const val POLL_INTERVAL_MILLIS = 20L

        /** The secret that VMs and upstreams of local deployments share. */
        public const val SECRET: String = "local-secret"
    }
}
