package cicadagauge.bench.virtual

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs tasks in the order of their times, without waiting. Times are nanoseconds from the start. */
class VirtualTime {
    private val queue = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private var order = 0L

    /** The present time. */
    var now: Long = 0
        private set

    /** Runs [task] after [delay]. */
    fun after(delay: Duration, task: () -> Unit) = at(now + delay.inWholeNanoseconds, task)

    /** Runs [task] at [time], or now where that is past. */
    fun at(time: Long, task: () -> Unit) {
        queue.add(Task(maxOf(now, time), order++, task))
    }

    /** Runs everything that is due within [length]. */
    fun run(length: Duration) {
        val end = now + length.inWholeNanoseconds
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
