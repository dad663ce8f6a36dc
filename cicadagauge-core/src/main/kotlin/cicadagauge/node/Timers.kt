package cicadagauge.node

import cicadagauge.identity.Moment
import java.util.PriorityQueue

/** What is to be done later. A task that is no longer wanted finds that out for itself when it runs. */
internal class Timers {
    private val queue = PriorityQueue<Entry>(compareBy({ it.moment }, { it.order }))
    private var order = 0L

    /** The moment of the earliest task, or null. */
    val next: Moment? get() = queue.peek()?.moment

    /** Runs [task] at [moment] or soon after. */
    fun at(moment: Moment, task: (Moment) -> Unit) {
        queue.add(Entry(moment, order++, task))
    }

    /** Runs every task that is due at [now]. */
    fun run(now: Moment) {
        while (true) {
            val entry = queue.peek()?.takeIf { it.moment <= now } ?: return
            queue.remove()
            entry.task(now)
        }
    }

    private class Entry(val moment: Moment, val order: Long, val task: (Moment) -> Unit)
}
