/*
 * The queue in front of an upstream or a pool. A more urgent class goes first, but for one place in
 * [FairQueue.URGENT_RUN] that goes to whoever waits behind it. Within a class the customers take turns, so that
 * one customer's backlog delays its own requests only.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.CustomerName

/** Items that wait, by class and customer. */
internal class FairQueue<T : FairQueue.Item> {
    private val classes = RequestClass.entries.map { TurnQueue<T>() }
    private var run = 0

    /** How many items wait. */
    val size: Int get() = classes.sumOf { it.size }

    /** What the order of an item depends on. */
    interface Item {
        val customer: CustomerName
        val requestClass: RequestClass
    }

    /** Adds [item] behind its customer's others. */
    fun add(item: T): Unit = classes[item.requestClass.ordinal].add(item)

    /** Takes the next item, or null. */
    fun poll(): T? {
        val waiting = classes.filter { it.size > 0 }
        val first = waiting.firstOrNull() ?: return null
        if (waiting.size == 1 || run < URGENT_RUN) {
            run = if (waiting.size == 1) 0 else run + 1
            return first.poll()
        }
        run = 0
        return waiting[1].poll()
    }

    /** Removes [item]; false where it did not wait. */
    fun remove(item: T): Boolean = classes[item.requestClass.ordinal].remove(item)

    /** How many items of [customer] wait. */
    fun countOf(customer: CustomerName): Int = classes.sumOf { it.countOf(customer) }

    /** How many items go before a new one of [requestClass]. */
    fun ahead(requestClass: RequestClass, customer: CustomerName): Int =
        classes.take(requestClass.ordinal).sumOf { it.size } + classes[requestClass.ordinal].ahead(customer)

    /** Removes and returns all items, in the order in which they would have come. */
    fun drain(): List<T> = generateSequence { poll() }.toList()

    /** Removes and returns the items that [predicate] accepts, given how many go before each. */
    fun removeByPosition(predicate: (T, ahead: Int) -> Boolean): List<T> {
        val urgent = classes.runningFold(0) { sum, queue -> sum + queue.size }
        return classes.flatMapIndexed { index, queue ->
            queue.removeByPosition { item, ahead -> predicate(item, urgent[index] + ahead) }
        }
    }

    /** Removes and returns the items that [predicate] accepts. */
    fun removeIf(predicate: (T) -> Boolean): List<T> = classes.flatMap { it.removeIf(predicate) }

    private class TurnQueue<T : Item> {
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
                items.filterIndexed { index, item -> predicate(item, aheadOf(customer, index)) }
            }
            removed.forEach(::remove)
            return removed
        }

        private fun aheadOf(customer: CustomerName, index: Int): Int = byCustomer.entries.sumOf { (other, items) ->
            if (other == customer) index else minOf(items.size, index + 1)
        }

        /** With turns between customers, at most as many of each other customer go first as wait of [customer]. */
        fun ahead(customer: CustomerName): Int = aheadOf(customer, countOf(customer))

        fun removeIf(predicate: (T) -> Boolean): List<T> {
            val removed = byCustomer.values.flatMap { items -> items.filter(predicate) }
            removed.forEach(::remove)
            return removed
        }
    }

    private companion object {
        const val URGENT_RUN = 8
    }
}
