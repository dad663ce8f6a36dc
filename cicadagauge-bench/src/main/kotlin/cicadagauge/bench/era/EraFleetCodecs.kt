package cicadagauge.bench.era

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.DeclarationDefaults
import cicadagauge.declaration.Placement
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Upstream
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.Incarnation
import cicadagauge.identity.OperationId
import cicadagauge.identity.PoolName
import cicadagauge.identity.UpstreamId
import cicadagauge.store.CodecError
import cicadagauge.store.DeclarationCodec
import cicadagauge.store.JsonRecordCodec
import cicadagauge.store.JsonVmCodec
import cicadagauge.store.NodeCodecs
import cicadagauge.store.RegisteredUpstream
import cicadagauge.store.RegistrationCodec
import cicadagauge.store.StoredDeclaration

/**
 * The codecs of an [EraFleet]: a declaration is only its version, and always declares one pool of [slots] slots that
 * are placed by ranges; an upstream registers its run, and whether it is draining.
 */
internal class EraFleetCodecs(private val slots: Int) {
    private val pool = Pool(
        name = POOL,
        upstreams = emptyList(),
        keyed = true,
        slots = slots,
        placement = Placement.Ranges,
        isDiscovered = true,
    )

    private val declarations = object : DeclarationCodec {
        override fun open(text: String): Either<CodecError, StoredDeclaration> =
            StoredDeclaration(DeclarationVersion(text.toLong()), OperationId(text), text).right()

        override fun parse(text: String): Either<CodecError, Declaration> = Declaration(
            zones = ZONES,
            pools = listOf(pool),
            routes = emptyList(),
            customers = emptyList(),
            entryVms = DeclarationDefaults.DYNAMIC_ENTRY_VMS,
        ).right()
    }

    private val registrations = object : RegistrationCodec {
        override fun decode(id: UpstreamId, text: String): Either<CodecError, RegisteredUpstream> {
            val run = text.substringBefore(' ').ifEmpty { return CodecError("no run").left() }
            val upstream = Upstream(
                id = id,
                address = Address(id.value, 1),
                zone = ZONES.first(),
                run = Incarnation("$id-$run"),
                concurrency = 2,
                isDraining = text.endsWith("draining"),
            )
            return RegisteredUpstream(POOL, upstream).right()
        }
    }

    /** The codecs of a node. */
    val all = NodeCodecs(declarations, JsonRecordCodec(), registrations, JsonVmCodec())

    companion object {
        val POOL = PoolName("p")
        val ZONES = linkedSetOf(AvailabilityZone("a"), AvailabilityZone("b"))
    }
}
