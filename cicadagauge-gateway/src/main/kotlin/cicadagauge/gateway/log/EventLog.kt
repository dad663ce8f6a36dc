/*
 * The event log of a gateway: one line for each refused request, for each attempt without a complete response and for
 * each change of the VM's state. Each event has a limit of lines per second; the next line that is written gives the
 * number of omitted lines.
 */
package cicadagauge.gateway.log

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.StateChange
import cicadagauge.node.WatchResult
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes events of [vm] as structured fields. [clock] returns the current moment. */
internal class EventLog(private val vm: VmId, private val clock: () -> Moment) {
    private val limiters = HashMap<String, LogRateLimiter>()

    /** Writes event [name] with [fields]; fields that are null are left out. */
    fun write(name: String, vararg fields: Pair<String, Any?>) {
        val limiter = limiters.getOrPut(name) { LogRateLimiter(LINES_PER_SECOND, clock()) }
        val omitted = limiter.tryAcquire(clock()) ?: return
        val message = StringMapMessage().with("event", name).with("vm", vm.value)
        fields.forEach { (key, value) -> if (value != null) message.with(key, value.toString()) }
        if (omitted > 0) message.with("omitted", omitted.toString())
        LOG.info(message)
    }

    /** Writes the event for [change]. */
    fun write(change: StateChange): Unit = when (change) {
        is StateChange.DeclarationInForce -> write("declaration-in-force", "version" to change.version)
        is StateChange.DeclarationUnreadable ->
            write("declaration-unreadable", "version" to change.version, "problem" to change.problem)
        is StateChange.DutyTaken -> write("duty-taken", "pool" to change.pool, "term" to change.term)
        is StateChange.DutyKeyReleased -> write("duty-key-released", "pool" to change.pool)
        is StateChange.DutyLost -> write("duty-lost", "pool" to change.pool, "term" to change.term)
        is StateChange.OwnersChanged ->
            write("owners-changed", "pool" to change.pool, "version" to change.version, "moved" to change.moved)
        is StateChange.LoadBalanced -> writeMoves(change)
        is StateChange.ZonesSkipped -> writeZones(change)
        is StateChange.FenceRefused ->
            write("fence-refused", "pool" to change.pool, "upstream" to change.upstream, "fence" to change.fence)
        is StateChange.OwnerSuspected -> write(
            "owner-suspected",
            "pool" to change.pool,
            "upstream" to change.upstream,
            "proof" to change.proof,
            "longestWaitMillis" to change.longestWait.inWholeMilliseconds,
        )
        is StateChange.ZoneOut -> write("zone-out", "zone" to change.zone, "out" to change.isOut)
        is StateChange.RegistrationUnreadable ->
            write("registration-unreadable", "upstream" to change.upstream, "problem" to change.problem)
        is StateChange.UpstreamReachable ->
            write("upstream-reachable", "upstream" to change.upstream, "reachable" to change.reachable)
        is StateChange.UpstreamCrashed ->
            write("upstream-crashed", "upstream" to change.upstream, "fingerprints" to change.requests.joinToString())
        is StateChange.RequestQuarantined -> write(
            if (change.isQuarantined) "request-quarantined" else "request-cleared",
            "fingerprint" to change.fingerprint,
            "customer" to change.fingerprint.customer,
            "crashes" to change.record.crashes,
            "generation" to change.record.generation,
            "source" to change.source,
        )
        is StateChange.Suspended -> write("suspended", "unseen" to change.unseen)
        is StateChange.UpstreamsReached -> write("upstreams-reached", "reached" to change.reached)
        is StateChange.StoreReachable -> write("store-reachable", "reachable" to change.reachable)
        is StateChange.StoreReading -> writeReading(change)
        is StateChange.StoreEraChanged -> writeEra(change)
        is StateChange.WatchEnded -> writeWatchEnd(change)
    }

    private fun writeMoves(change: StateChange.LoadBalanced) = write(
        "load-balanced",
        "pool" to change.pool,
        "version" to change.version,
        "expectedSavingMillis" to change.expectedSaving.inWholeMilliseconds,
    )

    private fun writeZones(change: StateChange.ZonesSkipped) = write(
        "zones-skipped",
        "pool" to change.pool,
        "zone" to change.zone,
        "expectedWaits" to change.expectedWaits,
        "newsAgeMillis" to change.newsAge.inWholeMilliseconds,
    )

    private fun writeReading(change: StateChange.StoreReading) = write(
        "store-reading",
        "reading" to change.isReading,
        "newsAgeMillis" to change.newsAge.inWholeMilliseconds,
    )

    private fun writeEra(change: StateChange.StoreEraChanged) = write(
        "store-era",
        "old" to change.previous,
        "new" to change.era,
        "writtenAgain" to change.writtenAgain.joinToString(),
    )

    /** A watch that the store has answered is the normal case, which the counter of state changes shows. */
    private fun writeWatchEnd(change: StateChange.WatchEnded) {
        if (change.result is WatchResult.Reported) return
        write(
            "store-watch-ended",
            "prefix" to change.prefix,
            "result" to change.result,
            "waitedMillis" to change.waited.inWholeMilliseconds,
        )
    }

    private companion object {
        val LOG = LogManager.getLogger("cicadagauge")

        /** Limit for each event name; keeps the log readable on a VM that serves hundreds of requests per second. */
        const val LINES_PER_SECOND = 50
    }
}

/** Limits log lines to [perSecond] in each window of one second. */
internal class LogRateLimiter(private val perSecond: Int, start: Moment) {
    private var windowEnd = start + WINDOW
    private var used = 0
    private var omitted = 0

    /** The number of lines omitted since the last one that was written, or null if this one must be omitted too. */
    fun tryAcquire(now: Moment): Int? {
        if (now >= windowEnd) {
            windowEnd = now + WINDOW
            used = 0
        }
        if (used >= perSecond) {
            omitted++
            return null
        }
        used++
        return omitted.also { omitted = 0 }
    }

    private companion object {
        val WINDOW: Duration = 1.seconds
    }
}
