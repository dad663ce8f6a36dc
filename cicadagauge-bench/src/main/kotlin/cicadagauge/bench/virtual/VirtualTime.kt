package cicadagauge.bench.virtual

import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * The scheduler of a discrete-event simulation: runs tasks in the order of their due times, without real waiting. Tasks
 * with the same due time run in the order in which they were scheduled. Times are in nanoseconds since the start.
 */
class VirtualTime {
    private val queue = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private var order = 0L

    /** The current virtual time, in nanoseconds. */
    var now: Long = 0
        private set

    /** Schedules [task] to run after [delay]. */
    fun after(delay: Duration, task: () -> Unit) = at(now + delay.inWholeNanoseconds, task)

    /** Schedules [task] to run at [time], or at the current time if [time] has passed. */
    fun at(time: Long, task: () -> Unit) {
        queue.add(Task(maxOf(now, time), order++, task))
    }

    /** Advances the virtual time by [duration] and runs every task that falls due meanwhile. */
    fun advanceBy(duration: Duration) {
        val end = now + duration.inWholeNanoseconds
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.remove()
            now = next.at
            next.run()
        }
        now = end
    }

    private class Task(val at: Long, val order: Long, val run: () -> Unit)
}
