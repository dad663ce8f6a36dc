/*
 * The whole decision logic of one entry VM as one deterministic object. It reads no clock, thread, random source
 * or socket: a driver hands it events with the present moment and carries its effects out.
 */
package cicadagauge.node

import cicadagauge.identity.Moment

/** Decides for one entry VM. Not safe for use by several threads. */
public interface Node {
    /** Takes [event] in at [now] and returns what is to be done, in order. */
    public fun handle(event: Event, now: Moment): List<Effect>

    /** What operators may see of the node at [now]. */
    public fun status(now: Moment): NodeStatus
}
