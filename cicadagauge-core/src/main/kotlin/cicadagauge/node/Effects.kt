package cicadagauge.node

/** Collects the effects that the handling of one event produces, in order. */
internal class Effects {
    private var collected = ArrayList<Effect>(INITIAL_CAPACITY)

    /** Adds [effect] after those already collected. */
    fun add(effect: Effect) {
        collected.add(effect)
    }

    /** Returns all effects added since the last call. */
    fun take(): List<Effect> {
        if (collected.isEmpty()) return emptyList()
        val taken = collected
        collected = ArrayList(INITIAL_CAPACITY)
        return taken
    }

    private companion object {
        const val INITIAL_CAPACITY = 4
    }
}
