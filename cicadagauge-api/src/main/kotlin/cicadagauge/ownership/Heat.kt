@file:UseSerializers(DurationInNanos::class)

package cicadagauge.ownership

import cicadagauge.identity.DurationInNanos
import cicadagauge.identity.UpstreamId
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/**
 * Number of requests for a bucket of [SLOTS] adjacent slots, as a measure of their load.
 *
 * @property index number of the bucket: that of its first slot divided by [SLOTS].
 */
@Serializable
public data class HeatBucket(val index: Int, val requests: Int) {
    public companion object {
        /** Slots per bucket: few enough to divide a heavily loaded range of a few hundred keys into many parts. */
        public const val SLOTS: Int = 8
    }
}

/** The [usual] time that [upstream] takes for one request. */
@Serializable
public data class UpstreamTime(val upstream: UpstreamId, val usual: Duration)
