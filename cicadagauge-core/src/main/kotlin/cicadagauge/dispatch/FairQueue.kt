/*
 * The queue in front of an upstream or a pool. More urgent request classes are served first, except that after
 * [FairQueue.MAX_URGENT_RUN] consecutive items of the most urgent waiting class one item of the next waiting class is
 * served.
 * Within a class, customers are served round-robin, so that one customer's backlog delays only its own requests.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.CustomerName

/** A queue with priorities between request classes and fairness between the customers of a class. */
internal class FairQueue<T : FairQueue.Item> {
    private val classes = RequestClass.entries.map { RoundRobinQueue<T>() }
    private var urgentRun = 0

    /** The number of queued items. */
    val size: Int get() = classes.sumOf { it.size }

    /** A queued item; its class and customer determine its position. */
    interface Item {
        val customer: CustomerName
        val requestClass: RequestClass
    }

    /** Appends [item] to its customer's items of the same class. */
    fun add(item: T): Unit = classes[item.requestClass.ordinal].add(item)

    /** Removes and returns the next item, or null if the queue is empty. */
    fun poll(): T? {
        val waiting = classes.filter { it.size > 0 }
        val first = waiting.firstOrNull() ?: return null
        if (waiting.size == 1 || urgentRun < MAX_URGENT_RUN) {
            urgentRun = if (waiting.size == 1) 0 else urgentRun + 1
            return first.poll()
        }
        urgentRun = 0
        return waiting[1].poll()
    }

    /** Removes [item]; returns false if it was not queued. */
    fun remove(item: T): Boolean = classes[item.requestClass.ordinal].remove(item)

    /** The number of queued items of [customer]. */
    fun countOf(customer: CustomerName): Int = classes.sumOf { it.countOf(customer) }

    /**
     * An upper bound for the items of the same or more urgent classes that are served before a new item of
     * [requestClass] and [customer].
     */
    fun countAhead(requestClass: RequestClass, customer: CustomerName): Int =
        classes.take(requestClass.ordinal).sumOf { it.size } + classes[requestClass.ordinal].countAhead(customer)

    /** Removes and returns all items in the order in which [poll] would have returned them. */
    fun drain(): List<T> = generateSequence { poll() }.toList()

    /** Removes and returns the items that [predicate] accepts, given the number of items ahead of each. */
    fun removeByPosition(predicate: (T, ahead: Int) -> Boolean): List<T> {
        val countsBefore = classes.runningFold(0) { sum, queue -> sum + queue.size }
        return classes.flatMapIndexed { index, queue ->
            queue.removeByPosition { item, ahead -> predicate(item, countsBefore[index] + ahead) }
        }
    }

    /** Removes and returns the items that [predicate] accepts. */
    fun removeIf(predicate: (T) -> Boolean): List<T> = classes.flatMap { it.removeIf(predicate) }

    private class RoundRobinQueue<T : Item> {
        private val byCustomer = LinkedHashMap<CustomerName, ArrayDeque<T>>()
        var size = 0
            private set

        fun add(item: T) {
            byCustomer.getOrPut(item.customer) { ArrayDeque() }.addLast(item)
            size++
        }

        fun poll(): T? {
            val (customer, items) = byCustomer.entries.firstOrNull() ?: return null
            byCustomer.remove(customer)
            val item = items.removeFirst()
            if (items.isNotEmpty()) byCustomer[customer] = items
            size--
            return item
        }

        fun remove(item: T): Boolean {
            val items = byCustomer[item.customer] ?: return false
            if (!items.remove(item)) return false
            if (items.isEmpty()) byCustomer.remove(item.customer)
            size--
            return true
        }

        fun countOf(customer: CustomerName): Int = byCustomer[customer]?.size ?: 0

        fun removeByPosition(predicate: (T, ahead: Int) -> Boolean): List<T> {
            val removed = byCustomer.flatMap { (customer, items) ->
                items.filterIndexed { index, item -> predicate(item, countAheadOf(customer, index)) }
            }
            removed.forEach(::remove)
            return removed
        }

        /** Round-robin serves at most `index + 1` items of each other customer before item [index] of [customer]. */
        private fun countAheadOf(customer: CustomerName, index: Int): Int = byCustomer.entries.sumOf { (other, items) ->
            if (other == customer) index else minOf(items.size, index + 1)
        }

        fun countAhead(customer: CustomerName): Int = countAheadOf(customer, countOf(customer))

        fun removeIf(predicate: (T) -> Boolean): List<T> {
            val removed = byCustomer.values.flatMap { items -> items.filter(predicate) }
            removed.forEach(::remove)
            return removed
        }
    }

    private companion object {
        const val MAX_URGENT_RUN = 8
    }
}
