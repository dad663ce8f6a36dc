/*
 * Decides what happens when callers make a VM hold much in memory. Reading from the connections that hold more than
 * their part pauses first; if the VM is full all the same, those that hold most are given up.
 */
package cicadagauge.gateway.memory

import cicadagauge.gateway.MemoryLimits

/** What a VM holds bytes for. */
internal enum class HeldKind {
    /** Heads of requests, and what has been read but not decoded. */
    Heads,

    /** Requests that were sent ahead of the answers. */
    Ahead,

    /** Bodies of requests, until an upstream has taken them. */
    Bodies,

    /** Answers that the caller has not read. */
    Answers,
}

/** Where a connection stands, in the order in which connections are given up. */
internal enum class HolderState {
    /** No complete head of a request has arrived, and no answer is under way. */
    Unread,

    /** The request has been sent to no upstream, so that it can be refused. */
    Waiting,

    /** The request has been sent to an upstream, but a part of its body is missing. */
    Receiving,

    /** An upstream runs the request, or the caller reads the answer. */
    Answering,
}

/** A connection that makes the VM hold bytes. */
internal interface Holder {
    val holderState: HolderState

    /** Pauses or resumes reading of what this connection holds more and more of. */
    fun pauseForMemory(pause: Boolean)

    /** Refuses the request of this connection, or closes the connection. */
    fun giveUp()
}

/**
 * Adds up the estimated bytes that connections hold. It pauses holders itself; [onFull] is called once when [giveUp]
 * should be, which may not happen while a connection is being read.
 */
internal class MemoryAccount(private val limits: MemoryLimits = MemoryLimits(), private val onFull: () -> Unit = {}) {
    private val shares = LinkedHashSet<Share>()
    private val paused = LinkedHashSet<Share>()
    private val bytesByKind = LongArray(HeldKind.entries.size)
    private var isGivingUp = false

    /** The number of bytes that all connections hold. */
    var held = 0L
        private set

    /** The number of connections whose reading is paused. */
    val pausedCount: Int get() = paused.size

    /** Whether so much is held that requests that hold more than their part should be refused. */
    val isFull: Boolean get() = held >= limits.heldBytes

    private val pauseAt = limits.heldBytes / 2
    private val resumeAt = limits.heldBytes / 4
    private val targetOfGivingUp = limits.heldBytes * 3 / 4

    /** The number of bytes that are held for [kind]. */
    fun heldFor(kind: HeldKind): Long = bytesByKind[kind.ordinal]

    /** Opens the share of [holder]. */
    fun open(holder: Holder): Share = Share(holder)

    /**
     * Gives up holders until the VM is well below its limit; those that can be refused truthfully first, and of these
     * the ones that hold most. [onGivenUp] is called for each, with its state and its bytes.
     */
    fun giveUp(onGivenUp: (HolderState, Long) -> Unit) {
        isGivingUp = true
        val byState = shares.sortedByDescending { it.bytes }.groupBy { it.holder.holderState }
        for (state in HolderState.entries) {
            for (share in byState[state].orEmpty()) {
                if (held < targetOfGivingUp) break
                onGivenUp(state, share.bytes)
                share.holder.giveUp()
            }
        }
        isGivingUp = false
    }

    /** How much each connection may hold while reading pauses. */
    private fun fairShare(): Long = maxOf(limits.connectionFloorBytes, pauseAt / maxOf(1, shares.size))

    private fun changed(share: Share) {
        when {
            held >= pauseAt && share.bytes > fairShare() -> if (paused.add(share)) share.holder.pauseForMemory(true)
            share.bytes <= fairShare() -> if (paused.remove(share)) share.holder.pauseForMemory(false)
        }
        if (held < resumeAt && paused.isNotEmpty()) resumeAll()
        if (isFull && !isGivingUp) {
            isGivingUp = true
            onFull()
        }
    }

    private fun resumeAll() {
        val resumed = paused.toList()
        paused.clear()
        resumed.forEach { it.holder.pauseForMemory(false) }
    }

    /** What one connection holds. */
    inner class Share(val holder: Holder) {
        private val byKind = LongArray(HeldKind.entries.size)

        /** The number of bytes that this connection holds. */
        var bytes = 0L
            private set

        /** Whether this connection holds more than its part of a VM that is short of memory. */
        val isOverFairShare: Boolean get() = bytes > fairShare()

        /** Sets the numbers of bytes that this connection holds, in the order of [HeldKind]. */
        fun set(heads: Long, ahead: Long, bodies: Long, answers: Long) {
            val before = bytes
            set(HeldKind.Heads, heads)
            set(HeldKind.Ahead, ahead)
            set(HeldKind.Bodies, bodies)
            set(HeldKind.Answers, answers)
            if (bytes == before) return
            if (bytes > 0) shares += this else shares -= this
            changed(this)
        }

        /** Ends the share, whose connection is closed. */
        fun close(): Unit = set(0, 0, 0, 0)

        private fun set(kind: HeldKind, now: Long) {
            val change = now - byKind[kind.ordinal]
            byKind[kind.ordinal] = now
            bytesByKind[kind.ordinal] += change
            bytes += change
            held += change
        }
    }
}
