package cicadagauge.bench.capacity

import cicadagauge.bench.Options
import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.ownership.Member
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.peer.PeerMessage
import cicadagauge.routing.OwnerTable
import cicadagauge.store.Json
import cicadagauge.store.JsonRecordCodec
import cicadagauge.store.MessageJson
import java.lang.management.ManagementFactory
import kotlin.time.Duration

/**
 * `bench capacity`: measures how the costs of the control plane grow with the size of the fleet, extrapolates them to
 * the target size and prints the table of docs/CAPACITY.md.
 */
class CapacityExperiment(arguments: List<String>) {
    private val options = Options(arguments, known = setOf("--sizes"))
    private val sizes = (options.text("--sizes") ?: "9,30,100,300").split(',').map { it.trim().toInt() }

    /** Prints the measurements and the table. Always returns true; the verdict of each row is only printed. */
    fun run(): Boolean {
        ControlPlaneMeter(sizes.first()).measure()
        val bySize = sizes.map { ControlPlaneMeter(it).measure() }.onEach { print("fleet", it) }
        val byUpstreams = UPSTREAM_FACTORS.map {
            ControlPlaneMeter(SMALL_FLEET_VMS, upstreamFactor = it).measure()
        }.onEach { print("upstreams", it) }
        val byCustomers = CUSTOMER_COUNTS.map {
            ControlPlaneMeter(SMALL_FLEET_VMS, customers = it).measure()
        }.onEach { print("customers", it) }
        val derive = measureDerivation()
        print("derive", derive)
        val codec = measureCodec()
        print("codec", codec)
        rows(bySize, byUpstreams, byCustomers, derive, codec).forEach { print("row", it) }
        return true
    }

    private fun rows(
        bySize: List<ControlPlaneCost>,
        byUpstreams: List<ControlPlaneCost>,
        byCustomers: List<ControlPlaneCost>,
        derive: DeriveCost,
        codec: CodecCost,
    ): List<Row> = listOf(
        row("control bytes/s, mean VM, by VMs", bySize, TARGET_VMS, BYTES_PER_SECOND_BUDGET) {
            Point(it.vms.toDouble(), it.bytesPerVm)
        },
        row("control bytes/s, dearest VM, by VMs", bySize, TARGET_VMS, BYTES_PER_SECOND_BUDGET) {
            Point(it.vms.toDouble(), it.bytesDearestVm)
        },
        row("core share, mean VM, by VMs", bySize, TARGET_VMS, CORE_SHARE_BUDGET) {
            Point(it.vms.toDouble(), it.coreShareMean)
        },
        row("core share, dearest VM, by VMs", bySize, TARGET_VMS, CORE_SHARE_BUDGET) {
            Point(it.vms.toDouble(), it.coreShareDearest)
        },
        row("store calls/s, by VMs", bySize, TARGET_VMS, STORE_CALLS_PER_SECOND_BUDGET) {
            Point(it.vms.toDouble(), it.storeCalls)
        },
        row("ms until a declaration is in force, by VMs", bySize, TARGET_VMS, IN_FORCE_BUDGET_MILLIS) {
            Point(it.vms.toDouble(), it.inForceMillis)
        },
        row(
            "grant bytes/s, dearest VM, by upstreams",
            byUpstreams,
            TARGET_UPSTREAMS_PER_ALLOCATOR,
            BYTES_PER_SECOND_BUDGET,
        ) {
            Point(it.upstreams.toDouble(), it.grantBytesDearestVm)
        },
        row("core share, dearest VM, by upstreams", byUpstreams, TARGET_UPSTREAMS_PER_ALLOCATOR, CORE_SHARE_BUDGET) {
            Point(it.upstreams.toDouble(), it.coreShareDearest)
        },
        row("control bytes/s, mean VM, by customers", byCustomers, TARGET_CUSTOMERS, BYTES_PER_SECOND_BUDGET) {
            Point(it.customers.toDouble(), it.bytesPerVm)
        },
        Row(
            "ms to derive 65536 slots x 1000 members",
            0.0,
            derive.nanosPerPair,
            derive.nanosPerPair * LARGE_POOL_PAIRS / NANOS_PER_MILLI,
            DERIVE_BUDGET_MILLIS,
        ),
        Row(
            "record bytes at 1000 members",
            0.0,
            codec.recordBytesPerMember,
            codec.recordBytesPerMember * TARGET_MEMBERS,
            STORE_VALUE_BUDGET_BYTES,
        ),
    )

    private fun row(
        name: String,
        costs: List<ControlPlaneCost>,
        target: Double,
        budget: Double,
        point: (ControlPlaneCost) -> Point,
    ): Row {
        val fit = LinearFit.leastSquares(costs.map(point))
        return Row(name, fit.fixed, fit.perUnit, fit.valueAt(target), budget)
    }

    private fun measureDerivation(): DeriveCost {
        val record = record(DERIVE_MEMBERS, DERIVE_SLOTS)
        repeat(DERIVE_ROUNDS) { OwnerTable(record) }
        val begin = cpuNanos()
        repeat(DERIVE_ROUNDS) { OwnerTable(record) }
        val pairs = DERIVE_ROUNDS.toDouble() * DERIVE_MEMBERS * DERIVE_SLOTS
        return DeriveCost(DERIVE_SLOTS, DERIVE_MEMBERS, (cpuNanos() - begin) / pairs)
    }

    private fun measureCodec(): CodecCost {
        val message = PeerMessage.BudgetRequest(CustomerName("customer-1"), 1, Moment(1), Duration.ZERO, 10)
        val roundTrip = { MessageJson.read(MessageJson.write(listOf(message))) }
        repeat(CODEC_ROUND_TRIPS) { roundTrip() }
        val begin = cpuNanos()
        repeat(CODEC_ROUND_TRIPS) { roundTrip() }
        val perMessage = (cpuNanos() - begin).toDouble() / CODEC_ROUND_TRIPS
        val few = JsonRecordCodec().encode(record(DERIVE_MEMBERS, 1)).length
        val many = JsonRecordCodec().encode(record(DERIVE_MEMBERS * 2, 1)).length
        return CodecCost(perMessage, (many - few).toDouble() / DERIVE_MEMBERS)
    }

    private fun record(members: Int, slots: Int) = OwnershipRecord(
        pool = PoolName("pool"),
        term = Term(1),
        version = RecordVersion(1),
        allocator = VmId("vm"),
        slots = slots,
        members = (0 until members).map { Member(UpstreamId("upstream-%05d".format(it))) },
    )

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private fun print(kind: String, value: Any) = println(Json.mapper.writeValueAsString(Line(kind, value)))

    private data class Line(val kind: String, val value: Any)

    private data class DeriveCost(val slots: Int, val members: Int, val nanosPerPair: Double)

    private data class CodecCost(val nanosPerMessage: Double, val recordBytesPerMember: Double)

    private data class Row(
        val name: String,
        val fixed: Double,
        val perUnit: Double,
        val atTarget: Double,
        val budget: Double,
    ) {
        val verdict: String = when {
            atTarget <= budget / 2 -> "holds"
            atTarget <= budget -> "tight"
            else -> "fails"
        }
    }

    private companion object {
        const val SMALL_FLEET_VMS = 9
        const val TARGET_VMS = 11_000.0
        const val TARGET_UPSTREAMS_PER_ALLOCATOR = 1_000.0
        const val TARGET_CUSTOMERS = 1_000.0
        const val BYTES_PER_SECOND_BUDGET = 16_384.0
        const val CORE_SHARE_BUDGET = 0.027
        const val STORE_CALLS_PER_SECOND_BUDGET = 2_000.0
        const val IN_FORCE_BUDGET_MILLIS = 4_000.0
        const val DERIVE_BUDGET_MILLIS = 100.0
        const val STORE_VALUE_BUDGET_BYTES = 1_048_576.0
        const val TARGET_MEMBERS = 1_000
        const val LARGE_POOL_PAIRS = 65_536.0 * 1_000
        const val NANOS_PER_MILLI = 1e6
        const val DERIVE_MEMBERS = 200
        const val DERIVE_SLOTS = 4_096
        const val DERIVE_ROUNDS = 30
        const val CODEC_ROUND_TRIPS = 50_000
        val UPSTREAM_FACTORS = listOf(1, 4, 12)
        val CUSTOMER_COUNTS = listOf(8, 32, 128)
    }
}
