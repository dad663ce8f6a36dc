package cicadagauge.node

import cicadagauge.identity.Moment
import java.util.PriorityQueue

/** A queue of tasks to run later. Tasks can't be cancelled: each checks when it runs whether it is still needed. */
internal class Timers {
    private val queue = PriorityQueue<Entry>(compareBy({ it.moment }, { it.sequence }))
    private var sequence = 0L

    /** When the earliest task is due, or null where there is none. */
    val next: Moment? get() = queue.peek()?.moment

    /** Schedules [task] for the first call of [run] at or after [moment]. */
    fun at(moment: Moment, task: (Moment) -> Unit) {
        queue.add(Entry(moment, sequence++, task))
    }

    /** Runs every task that is due at [now], in the order of their due times. */
    fun run(now: Moment) {
        while (true) {
            val entry = queue.peek()?.takeIf { it.moment <= now } ?: return
            queue.remove()
            entry.task(now)
        }
    }

    private class Entry(val moment: Moment, val sequence: Long, val task: (Moment) -> Unit)
}
