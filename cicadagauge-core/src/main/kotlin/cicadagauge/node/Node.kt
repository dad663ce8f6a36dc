/*
 * The whole decision logic of one entry VM as one deterministic object. It uses no clock, thread, random source or
 * socket: a driver passes it events with the current time and carries out the effects that it returns.
 */
package cicadagauge.node

import cicadagauge.identity.Moment

/** The decision logic of one entry VM. Not thread-safe. */
public interface Node {
    /** Handles [event] at [now] and returns the effects to carry out, in order. */
    public fun handle(event: Event, now: Moment): List<Effect>

    /** The state of the node at [now], for operators. */
    public fun status(now: Moment): NodeStatus
}
