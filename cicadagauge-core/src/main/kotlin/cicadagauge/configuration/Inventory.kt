/*
 * Merges the three sources that determine which upstreams exist and which of them may be used: the operators'
 * declaration, the upstreams' own registrations, and the availability zones that operators have taken out of service.
 */
package cicadagauge.configuration

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Upstream
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.Timers
import cicadagauge.store.RegisteredUpstream
import cicadagauge.store.StoreClient
import kotlin.time.Duration

/**
 * Completes the declaration in force with registrations and zones out of service; [onChanged] is called with the result
 * whenever it changes. A registration that disappears within [grace] of the store's return may have lapsed only because
 * the store was unavailable, so its upstream has until the end of that time to register again.
 */
internal class Inventory(
    private val store: StoreClient,
    private val timers: Timers,
    private val grace: Duration,
    private val onChanged: (Declaration, Moment) -> Unit,
) {
    private var declared: Declaration? = null
    private val registered = LinkedHashMap<UpstreamId, RegisteredUpstream>()
    private val coldUntil = HashMap<UpstreamId, Moment>()
    private val missingSince = HashMap<UpstreamId, Moment>()
    private val zonesOut = LinkedHashSet<AvailabilityZone>()

    /** The declaration completed with registered upstreams and zones out of service; null before the first. */
    var current: Declaration? = null
        private set

    /** Applies a declaration that has come into force. */
    fun declare(declaration: Declaration, now: Moment) {
        declared = declaration
        publish(now)
    }

    /** Applies the registration of upstream [id], or its removal where [entry] is null. */
    fun register(id: UpstreamId, entry: RegisteredUpstream?, now: Moment) {
        if (entry == null) return unregister(id, now)
        missingSince -= id
        val known = registered.put(id, entry)
        if (known == entry) return
        val coldFor = entry.upstream.coldFor
        if (coldFor.isPositive()) coldUntil[id] = now + coldFor
        publish(now)
    }

    /** Takes [zone] out of service, or back into service. */
    fun setZoneOut(zone: AvailabilityZone, isOut: Boolean, now: Moment) {
        val changed = if (isOut) zonesOut.add(zone) else zonesOut.remove(zone)
        if (changed) publish(now)
    }

    /** The end of the cold start that [upstream] has registered; [Moment.PAST] where it has none. */
    fun coldUntil(upstream: UpstreamId): Moment = coldUntil[upstream] ?: Moment.PAST

    private fun unregister(id: UpstreamId, now: Moment) {
        if (id !in registered) return
        val sinceReturn = now - store.returnedAt
        if (sinceReturn >= grace) return remove(id, now)
        missingSince[id] = now
        timers.at(store.returnedAt + grace) { if (id in missingSince) remove(id, it) }
    }

    private fun remove(id: UpstreamId, now: Moment) {
        missingSince -= id
        coldUntil -= id
        if (registered.remove(id) != null) publish(now)
    }

    private fun publish(now: Moment) {
        val source = declared ?: return
        val byPool = registered.values.groupBy({ it.pool }, { it.upstream })
        val effective = source.copy(
            pools = source.pools.map { pool ->
                if (pool.isDiscovered) pool.copy(upstreams = sorted(byPool[pool.name].orEmpty())) else pool
            },
            zonesOut = source.zonesOut + zonesOut,
        )
        current = effective
        onChanged(effective, now)
    }

    private fun sorted(upstreams: List<Upstream>) = upstreams.sortedBy { it.id }
}
