package cicadagauge.bench.virtual

import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A process on the network, and the availability zone that it runs in. */
data class Site(val name: String, val zone: String)

/**
 * Delays and faults of the simulated network. Probabilities are between 0 and 1.
 *
 * @property sameZone the smallest one-way delay within an availability zone; a message takes up to 1.5 times as long
 * @property crossZone the smallest one-way delay between availability zones; a message takes up to 1.5 times as long
 * @property loss the probability that a message is lost
 * @property repeat the probability that a message is delivered a second time
 * @property straying the probability that a message takes up to [stray] longer, so that later ones may overtake it
 * @property stray the largest additional delay of a straggling message, or of the second copy of a duplicate
 * @property connection the one-way delay on open connections, or null for the same delay as other messages
 */
data class NetworkTraits(
    val sameZone: Duration = 0.1.milliseconds,
    val crossZone: Duration = 0.5.milliseconds,
    val loss: Double = 0.0,
    val repeat: Double = 0.0,
    val straying: Double = 0.0,
    val stray: Duration = 500.milliseconds,
    val connection: Duration? = null,
)

/** Delivers messages between processes; delays, duplicates or loses them according to [traits] and the partitions. */
class VirtualNetwork(private val time: VirtualTime, private val random: Random, var traits: NetworkTraits) {
    private val cuts = ArrayList<(Site, Site) -> Boolean>()

    /** The number of messages sent so far, lost ones included. */
    var sent = 0L
        private set

    /** Drops all messages, in both directions, between two processes that [between] accepts in either order. */
    fun cut(between: (Site, Site) -> Boolean): Cut {
        cuts += between
        return Cut { cuts -= between }
    }

    /** Ends every partition. */
    fun healAll() = cuts.clear()

    /** A network partition in effect. */
    fun interface Cut {
        /** Ends the partition. */
        fun heal()
    }

    /** Whether no partition separates [one] from [other]. */
    fun isOpen(one: Site, other: Site): Boolean = cuts.none { it(one, other) || it(other, one) }

    /**
     * Sends a message from [from] to [to] that can be lost or duplicated; [arrive] runs at each arrival. Returns
     * whether the message will arrive.
     */
    fun send(from: Site, to: Site, arrive: () -> Unit): Boolean {
        sent++
        if (!isOpen(from, to) || random.nextDouble() < traits.loss) return false
        time.after(delay(from, to)) { arrive() }
        if (random.nextDouble() <
            traits.repeat
        ) {
            time.after(delay(from, to) + traits.stray * random.nextDouble()) { arrive() }
        }
        return true
    }

    /**
     * Sends a message from [from] to [to] over an open connection; [arrive] runs once at its arrival. The message is
     * never duplicated, and it is lost only if a partition separates the two.
     */
    fun deliver(from: Site, to: Site, arrive: () -> Unit) {
        sent++
        if (isOpen(from, to)) time.after(traits.connection ?: delay(from, to)) { arrive() }
    }

    /** The one-way delay of a new message from [from] to [to]. Draws from the random sequence. */
    fun delay(from: Site, to: Site): Duration {
        val base = if (from.zone == to.zone) traits.sameZone else traits.crossZone
        val strays = random.nextDouble() < traits.straying
        return base * (1 + random.nextDouble() / 2) + if (strays) traits.stray * random.nextDouble() else Duration.ZERO
    }
}
