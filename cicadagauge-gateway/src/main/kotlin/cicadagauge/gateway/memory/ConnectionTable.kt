package cicadagauge.gateway.memory

/** A connection that may be closed to make room for another one. */
internal interface Evictable {
    /** How readily the connection is closed, or null if it must stay. */
    val evictionRank: EvictionRank?

    /** Closes the connection. */
    fun evict()
}

/** The order in which connections are closed to make room. */
internal enum class EvictionRank {
    /** No request is under way: the connection is idle, or the head of a request is incomplete. */
    BetweenRequests,

    /** The body of the request is incomplete. */
    Receiving,

    /** The other side has not read an answer that is ready. */
    NotReading,
}

/** The open connections of a port, at most [capacity], in the order of their last reads. */
internal class ConnectionTable<C : Evictable>(private val capacity: Int) {
    private val byLastRead = LinkedHashSet<C>()

    /** The open connections. */
    val all: List<C> get() = byLastRead.toList()

    /**
     * Adds [connection], and closes another one if there is no room. Returns false if there is none that may be closed.
     * [onEvicted] is called with the rank of the one that was closed.
     */
    fun add(connection: C, onEvicted: (EvictionRank) -> Unit = {}): Boolean {
        if (byLastRead.size >= capacity) {
            val evicted = evictable() ?: return false
            evicted.evictionRank?.let(onEvicted)
            byLastRead -= evicted
            evicted.evict()
        }
        return byLastRead.add(connection)
    }

    /** Records that [connection] has been read. */
    fun touch(connection: C) {
        if (byLastRead.remove(connection)) byLastRead.add(connection)
    }

    /** Removes [connection], which is closed. */
    fun remove(connection: C) {
        byLastRead -= connection
    }

    private fun evictable(): C? = EvictionRank.entries.firstNotNullOfOrNull { rank ->
        byLastRead.firstOrNull { it.evictionRank == rank }
    }
}
