/*
 * Remembers which requests have crashed upstreams, by their content, and refuses to run them again. Callers repeat such
 * a request at any VM, so the VMs share what they know. One crash may have another cause than the request that was
 * running; two in succession are taken as proof, unless an upstream has answered the request in between.
 */
package cicadagauge.quarantine

import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.VmId
import cicadagauge.node.Effect
import cicadagauge.node.Effects
import cicadagauge.node.QuarantineSettings
import cicadagauge.node.StateChange
import cicadagauge.peer.CrashRecord
import cicadagauge.peer.CrashSuspicion
import kotlin.time.Duration

/** Passes changed records on to other VMs. */
internal fun interface SuspicionPublisher {
    /** Publishes [suspicion], which came from the VM [source], or from this one if that is null. */
    fun publish(suspicion: CrashSuspicion, source: VmId?)
}

/** What this VM knows of requests that may have crashed upstreams. */
internal class RequestQuarantine(
    private val settings: QuarantineSettings,
    private val effects: Effects,
    private val publisher: SuspicionPublisher,
) {
    private val entries = LinkedHashMap<RequestFingerprint, Entry>()
    private val fingerprintsPerHead = HashMap<Pair<CustomerName, HeadDigest>, Int>()

    /** Whether the body of a request of [customer] has to be known to tell whether the request may run. */
    fun needsBody(customer: CustomerName, head: HeadDigest): Boolean =
        fingerprintsPerHead.isNotEmpty() && (customer to head) in fingerprintsPerHead

    /** The record of the requests with [fingerprint]. */
    fun recordOf(fingerprint: RequestFingerprint?, now: Moment): CrashRecord =
        entry(fingerprint, now)?.record ?: CrashRecord.NONE

    /** How long the requests with [fingerprint] must not run, or null if they may run now. */
    fun quarantineOf(fingerprint: RequestFingerprint?, now: Moment): Duration? {
        val entry = entry(fingerprint, now) ?: return null
        return if (isQuarantined(entry.record)) entry.expiresAt - now else null
    }

    /**
     * Records that a request has crashed an upstream. [before] is the record when the request was sent: of several that
     * crash upstreams at the same time, only one counts.
     */
    fun crashed(fingerprint: RequestFingerprint, before: CrashRecord, now: Moment) {
        change(CrashSuspicion(fingerprint, before.crashed(), settings.retention), source = null, now = now)
    }

    /** Records that an upstream has answered a request, which clears all requests with the same [fingerprint]. */
    fun answered(fingerprint: RequestFingerprint, now: Moment) {
        val record = recordOf(fingerprint, now)
        if (record.crashes == 0) return
        change(CrashSuspicion(fingerprint, record.cleared(), settings.retention), source = null, now = now)
    }

    /** Adopts what the VM [source] knows, as far as it is newer. */
    fun adopt(suspicions: List<CrashSuspicion>, source: VmId, now: Moment): Unit =
        suspicions.forEach { change(it, source, now) }

    /** All records that have not expired. */
    fun suspicions(now: Moment): List<CrashSuspicion> {
        entries.filterValues { it.expiresAt <= now }.keys.forEach(::remove)
        return entries.map { (fingerprint, entry) -> CrashSuspicion(fingerprint, entry.record, entry.expiresAt - now) }
    }

    /** A digest of all records, equal on VMs that know the same. */
    fun digest(now: Moment): Long = suspicions(now).sumOf { it.copy(remaining = Duration.ZERO).hashCode().toLong() }

    private fun change(suspicion: CrashSuspicion, source: VmId?, now: Moment) {
        val fingerprint = suspicion.fingerprint
        val previous = recordOf(fingerprint, now)
        if (suspicion.record <= previous || !suspicion.remaining.isPositive()) return
        remove(fingerprint)
        while (entries.size >= settings.maxRecords) remove(entries.keys.first())
        entries[fingerprint] = Entry(suspicion.record, now + suspicion.remaining)
        fingerprintsPerHead.merge(fingerprint.customer to fingerprint.head, 1, Int::plus)
        if (isQuarantined(suspicion.record) != isQuarantined(previous)) reportChange(suspicion, source)
        publisher.publish(suspicion, source)
    }

    private fun reportChange(suspicion: CrashSuspicion, source: VmId?) {
        val change = StateChange.RequestQuarantined(
            fingerprint = suspicion.fingerprint,
            isQuarantined = isQuarantined(suspicion.record),
            record = suspicion.record,
            source = source,
        )
        effects.add(Effect.StateChanged(change))
    }

    private fun entry(fingerprint: RequestFingerprint?, now: Moment): Entry? =
        fingerprint?.let(entries::get)?.takeIf { it.expiresAt > now }

    private fun remove(fingerprint: RequestFingerprint) {
        entries.remove(fingerprint) ?: return
        fingerprintsPerHead.computeIfPresent(fingerprint.customer to fingerprint.head) { _, count ->
            (count - 1).takeIf { it > 0 }
        }
    }

    private fun isQuarantined(record: CrashRecord) = record.crashes >= settings.maxCrashes

    private class Entry(val record: CrashRecord, val expiresAt: Moment)
}
