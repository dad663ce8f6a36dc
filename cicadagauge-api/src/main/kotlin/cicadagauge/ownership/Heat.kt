@file:UseSerializers(DurationInNanos::class)

package cicadagauge.ownership

import cicadagauge.identity.DurationInNanos
import cicadagauge.identity.UpstreamId
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import kotlin.time.Duration

/** How many [requests] there were for the run of neighbouring slots number [index]. */
@Serializable
public data class HeatBucket(val index: Int, val requests: Int) {
    public companion object {
        /** The slots of one bucket: fine enough to cut a hot stretch of a few hundred keys into many parts. */
        public const val SLOTS: Int = 8
    }
}

/** How long [upstream] usually takes for one request. */
@Serializable
public data class UpstreamTime(val upstream: UpstreamId, val usual: Duration)
