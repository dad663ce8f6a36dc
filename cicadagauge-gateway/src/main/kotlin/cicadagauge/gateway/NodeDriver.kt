/*
 * Runs a node on one Netty event loop. Events are handled one at a time and effects are carried out on the same
 * thread, so nothing here needs a lock.
 */
package cicadagauge.gateway

import cicadagauge.identity.Moment
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.Node
import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Carries out the effects of a node. */
internal fun interface EffectHandler {
    fun carryOut(effect: Effect)
}

/** The monotonic clock of this process. */
public object MonotonicClock {
    /** The current moment. */
    public fun now(): Moment = Moment(System.nanoTime())
}

/** Delivers events to [node], on [loop] only. */
internal class NodeDriver(
    private val node: Node,
    private val loop: EventLoop,
    private val suspensionDetector: SuspensionDetector = SuspensionDetector(),
) {
    private val queue = ArrayDeque<Event>()
    private var isHandling = false
    private var wakeTimer: ScheduledFuture<*>? = null

    /** Carries out the node's effects; set once before the first event. */
    lateinit var effectHandler: EffectHandler

    /** Hands [event] to the node, after the events that are queued already. Must be called on the event loop. */
    fun submit(event: Event) {
        queue.addLast(event)
        if (isHandling) return
        isHandling = true
        try {
            while (queue.isNotEmpty()) handle(queue.removeFirst())
        } finally {
            isHandling = false
        }
    }

    /** Hands [event] to the node from any thread. */
    fun submitLater(event: Event): Unit = loop.execute { submit(event) }

    private fun handle(event: Event) {
        suspensionDetector.clockJump()?.let { deliver(Event.Suspended(it)) }
        deliver(event)
    }

    private fun deliver(event: Event) {
        for (effect in node.handle(event, MonotonicClock.now())) {
            if (effect is Effect.WakeAt) wakeAt(effect.moment) else effectHandler.carryOut(effect)
        }
    }

    private fun wakeAt(moment: Moment) {
        wakeTimer?.cancel(false)
        val delayNanos = maxOf(0L, (moment - MonotonicClock.now()).inWholeNanoseconds)
        wakeTimer = loop.schedule({ submit(Event.Woken) }, delayNanos, TimeUnit.NANOSECONDS)
    }
}
