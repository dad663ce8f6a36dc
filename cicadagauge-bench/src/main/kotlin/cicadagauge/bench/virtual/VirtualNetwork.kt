package cicadagauge.bench.virtual

import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A process on the network, and the availability zone that it runs in. */
data class Endpoint(val name: String, val zone: String)

/**
 * Delays and faults of the simulated network. Probabilities are between 0 and 1.
 *
 * @property sameZoneDelay the smallest one-way delay within an availability zone; the largest is 1.5 times as long
 * @property crossZoneDelay the smallest one-way delay between availability zones; the largest is 1.5 times as long
 * @property lossProbability the probability that a message is lost
 * @property duplicationProbability the probability that a message is delivered a second time
 * @property extraDelayProbability the probability that a message takes up to [maxExtraDelay] longer, so that
 *   later ones may overtake it
 * @property maxExtraDelay the largest extra delay of a late message, or of the second copy of a duplicate
 * @property connectionDelay the one-way delay on open connections, or null for the same delay as other messages
 */
data class NetworkConditions(
    val sameZoneDelay: Duration = 0.1.milliseconds,
    val crossZoneDelay: Duration = 0.5.milliseconds,
    val lossProbability: Double = 0.0,
    val duplicationProbability: Double = 0.0,
    val extraDelayProbability: Double = 0.0,
    val maxExtraDelay: Duration = 500.milliseconds,
    val connectionDelay: Duration? = null,
)

/** Delivers messages between processes; delays, duplicates or loses them as [conditions] and partitions say. */
class VirtualNetwork(private val time: VirtualTime, private val random: Random, var conditions: NetworkConditions) {
    private val partitions = ArrayList<(Endpoint, Endpoint) -> Boolean>()

    /** The number of messages sent so far, lost ones included. */
    var sent = 0L
        private set

    /**
     * Drops all messages sent from now on, in both directions, between two processes that [between] accepts in either
     * order. Messages already in flight still arrive.
     */
    fun partition(between: (Endpoint, Endpoint) -> Boolean): Partition {
        partitions += between
        return Partition { partitions -= between }
    }

    /** Ends every partition. */
    fun healAll() = partitions.clear()

    /** A network partition in effect. */
    fun interface Partition {
        /** Ends the partition. */
        fun heal()
    }

    /** Whether no partition separates [one] from [other]. */
    fun areConnected(one: Endpoint, other: Endpoint): Boolean = partitions.none { it(one, other) || it(other, one) }

    /**
     * Sends a message from [from] to [to] that can be lost or duplicated; [onArrival] runs at each arrival. Returns
     * whether the message will arrive.
     */
    fun send(from: Endpoint, to: Endpoint, onArrival: () -> Unit): Boolean {
        sent++
        if (!areConnected(from, to) || random.nextDouble() < conditions.lossProbability) return false
        time.after(delay(from, to)) { onArrival() }
        if (random.nextDouble() < conditions.duplicationProbability) {
            time.after(delay(from, to) + conditions.maxExtraDelay * random.nextDouble()) { onArrival() }
        }
        return true
    }

    /**
     * Sends a message from [from] to [to] over an open connection; [onArrival] runs once at its arrival. The message is
     * never duplicated, and it is lost only if a partition separates the two.
     */
    fun sendOnConnection(from: Endpoint, to: Endpoint, onArrival: () -> Unit) {
        sent++
        if (areConnected(from, to)) time.after(conditions.connectionDelay ?: delay(from, to)) { onArrival() }
    }

    /** The one-way delay of a new message from [from] to [to]. Draws from the random sequence. */
    fun delay(from: Endpoint, to: Endpoint): Duration {
        val base = if (from.zone == to.zone) conditions.sameZoneDelay else conditions.crossZoneDelay
        val isDelayed = random.nextDouble() < conditions.extraDelayProbability
        return base * (1 + random.nextDouble() / 2) +
            if (isDelayed) conditions.maxExtraDelay * random.nextDouble() else Duration.ZERO
    }
}
