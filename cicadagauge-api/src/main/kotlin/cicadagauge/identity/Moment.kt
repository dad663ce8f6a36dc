/*
 * Time inside the core. The core never reads a clock: a driver passes the present moment in with
 * every event, and a moment is only ever compared with moments of the same clock.
 */
package cicadagauge.identity

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A reading of one process's monotonic clock, in nanoseconds from an arbitrary origin. */
@JvmInline
@Serializable
public value class Moment(public val nanos: Long) : Comparable<Moment> {
    /** This moment, [duration] later. */
    public operator fun plus(duration: Duration): Moment = Moment(nanos + duration.inWholeNanoseconds)

    /** This moment, [duration] earlier. */
    public operator fun minus(duration: Duration): Moment = Moment(nanos - duration.inWholeNanoseconds)

    /** The time from [other] to this moment; negative where this one is earlier. */
    public operator fun minus(other: Moment): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Moment): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** The origin of a clock. */
        public val ZERO: Moment = Moment(0)

        /** Earlier than every reading. */
        public val PAST: Moment = Moment(Long.MIN_VALUE / 4)

        /** Later than every reading. */
        public val FUTURE: Moment = Moment(Long.MAX_VALUE / 4)
    }
}
