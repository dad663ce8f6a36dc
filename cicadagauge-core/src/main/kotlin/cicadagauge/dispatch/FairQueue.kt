/*
 * The queue in front of an upstream or a pool. A more urgent class goes first, but for one place in
 * [FairQueue.URGENT_RUN] that goes to whoever waits behind it. Within a class the tenants take turns, so that
 * one tenant's backlog delays its own requests only.
 */
package cicadagauge.dispatch

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.TenantName

/** Items that wait, by class and tenant. */
internal class FairQueue<T : FairQueue.Item> {
    private val classes = RequestClass.entries.map { TurnQueue<T>() }
    private var run = 0

    /** How many items wait. */
    val size: Int get() = classes.sumOf { it.size }

    /** What the order of an item depends on. */
    interface Item {
        val tenant: TenantName
        val requestClass: RequestClass
    }

    /** Adds [item] behind its tenant's others. */
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

    /** How many items of [tenant] wait. */
    fun countOf(tenant: TenantName): Int = classes.sumOf { it.countOf(tenant) }

    /** How many items go before a new one of [requestClass]. */
    fun ahead(requestClass: RequestClass, tenant: TenantName): Int =
        classes.take(requestClass.ordinal).sumOf { it.size } + classes[requestClass.ordinal].ahead(tenant)

    /** Removes and returns all items, in the order in which they would have come. */
    fun drain(): List<T> = generateSequence { poll() }.toList()

    /** Removes and returns the items that [predicate] accepts. */
    fun removeIf(predicate: (T) -> Boolean): List<T> = classes.flatMap { it.removeIf(predicate) }

    private class TurnQueue<T : Item> {
        private val byTenant = LinkedHashMap<TenantName, ArrayDeque<T>>()
        var size = 0
            private set

        fun add(item: T) {
            byTenant.getOrPut(item.tenant) { ArrayDeque() }.addLast(item)
            size++
        }

        fun poll(): T? {
            val (tenant, items) = byTenant.entries.firstOrNull() ?: return null
            byTenant.remove(tenant)
            val item = items.removeFirst()
            if (items.isNotEmpty()) byTenant[tenant] = items
            size--
            return item
        }

        fun remove(item: T): Boolean {
            val items = byTenant[item.tenant] ?: return false
            if (!items.remove(item)) return false
            if (items.isEmpty()) byTenant.remove(item.tenant)
            size--
            return true
        }

        fun countOf(tenant: TenantName): Int = byTenant[tenant]?.size ?: 0

        /** With turns between tenants, at most as many of each other tenant go first as wait of [tenant]. */
        fun ahead(tenant: TenantName): Int {
            val mine = countOf(tenant)
            return byTenant.entries.sumOf { (other, items) ->
                if (other ==
                    tenant
                ) {
                    mine
                } else {
                    minOf(items.size, mine + 1)
                }
            }
        }

        fun removeIf(predicate: (T) -> Boolean): List<T> {
            val removed = byTenant.values.flatMap { items -> items.filter(predicate) }
            removed.forEach(::remove)
            return removed
        }
    }

    private companion object {
        const val URGENT_RUN = 8
    }
}
