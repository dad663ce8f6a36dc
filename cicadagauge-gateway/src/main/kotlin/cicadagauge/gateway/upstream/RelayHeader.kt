package cicadagauge.gateway.upstream

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import cicadagauge.node.RelayedRequest
import kotlin.time.Duration.Companion.milliseconds

/**
 * Encodes a [RelayedRequest] as one header value: pool, slot, class, customer, idempotence, maximum number of runs,
 * zone, whether it may spill over, and the milliseconds left until the target latency, separated by semicolons.
 */
internal object RelayHeader {
    /** The header value for [request]. */
    fun write(request: RelayedRequest): String {
        val slot = request.slot?.index?.toString().orEmpty()
        return listOf(
            request.pool,
            slot,
            request.requestClass.ordinal,
            request.customer,
            request.idempotent,
            request.maxRuns,
            request.zone?.value.orEmpty(),
            request.maySpill,
            request.targetLeft?.inWholeMilliseconds?.toString().orEmpty(),
        ).joinToString(";")
    }

    /** The request encoded in [value], or null if it can't be decoded. */
    fun read(value: String): RelayedRequest? {
        val parts = value.split(';')
        if (parts.size != FIELDS) return null
        val texts = parts.iterator()
        return RelayedRequest(
            pool = PoolName(texts.next()),
            slot = texts.next().toIntOrNull()?.takeIf { it >= 0 }?.let(::Slot),
            requestClass = texts.next().toIntOrNull()?.let(RequestClass.entries::getOrNull) ?: return null,
            customer = CustomerName(texts.next()),
            idempotent = texts.next().toBooleanStrictOrNull() ?: return null,
            maxRuns = texts.next().toIntOrNull() ?: return null,
            zone = texts.next().takeIf { it.isNotEmpty() }?.let(::AvailabilityZone),
            maySpill = texts.next().toBooleanStrictOrNull() ?: return null,
            targetLeft = texts.next().toLongOrNull()?.milliseconds,
        )
    }

    private const val FIELDS = 9
}
