/*
 * Time in the core. The core reads no clock: its driver passes the current moment with every event. Moments are
 * comparable only if they come from the same clock.
 */
package cicadagauge.identity

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A reading of a process's monotonic clock, in nanoseconds since an arbitrary origin. */
@JvmInline
@Serializable
public value class Moment(public val nanos: Long) : Comparable<Moment> {
    /** Returns the moment [duration] after this one. */
    public operator fun plus(duration: Duration): Moment = Moment(nanos + duration.inWholeNanoseconds)

    /** Returns the moment [duration] before this one. */
    public operator fun minus(duration: Duration): Moment = Moment(nanos - duration.inWholeNanoseconds)

    /** Returns the time from [other] to this moment; negative if this moment is earlier. */
    public operator fun minus(other: Moment): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Moment): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** The origin of the clock. */
        public val ZERO: Moment = Moment(0)

        /** Earlier than every reading of a clock. */
        public val PAST: Moment = Moment(Long.MIN_VALUE / 4)

        /** Later than every reading of a clock. */
        public val FUTURE: Moment = Moment(Long.MAX_VALUE / 4)
    }
}
