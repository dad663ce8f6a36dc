package cicadagauge.gateway.control

/** A call in progress. */
public fun interface CancellableCall {
    /** Closes the connection of the call, whose result is not reported any more; no effect once it has ended. */
    public fun cancel()
}
