@file:UseSerializers(DurationInNanos::class)

package cicadagauge.peer

import cicadagauge.identity.DurationInNanos
import cicadagauge.identity.RequestFingerprint
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/**
 * How many upstreams a request has crashed, one after the other. An answer from an upstream clears the request: the
 * count starts again at zero with the next [generation]. Of two records the greater one is the newer.
 */
@Serializable
public data class CrashRecord(val generation: Int, val crashes: Int) : Comparable<CrashRecord> {
    override fun compareTo(other: CrashRecord): Int = compareValuesBy(this, other, { it.generation }, { it.crashes })

    /** The record after one more crash. */
    public fun crashed(): CrashRecord = copy(crashes = crashes + 1)

    /** The record after an answer. */
    public fun cleared(): CrashRecord = CrashRecord(generation + 1, crashes = 0)

    public companion object {
        /** The record of a request that nothing is known of. */
        public val NONE: CrashRecord = CrashRecord(generation = 0, crashes = 0)
    }
}

/** The [record] of the requests with [fingerprint], which is forgotten after [remaining]. */
@Serializable
public data class CrashSuspicion(val fingerprint: RequestFingerprint, val record: CrashRecord, val remaining: Duration)
