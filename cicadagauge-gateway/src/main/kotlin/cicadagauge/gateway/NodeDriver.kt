/*
 * Runs a node on one Netty event loop: events go in one after the other, effects are carried out on the same
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

/** The clock of this process, as moments. */
public object MonotonicClock {
    /** The present moment. */
    public fun now(): Moment = Moment(System.nanoTime())
}

/** Feeds [node] with events, on [loop] only. */
internal class NodeDriver(
    private val node: Node,
    private val loop: EventLoop,
    private val suspension: SuspensionWatch = SuspensionWatch(),
) {
    private val waiting = ArrayDeque<Event>()
    private var running = false
    private var wake: ScheduledFuture<*>? = null

    /** Carries out the node's effects; set once before the first event. */
    lateinit var effects: EffectHandler

    /** Hands [event] to the node, after those that are being handled. Call it on the event loop. */
    fun submit(event: Event) {
        waiting.addLast(event)
        if (running) return
        running = true
        try {
            while (waiting.isNotEmpty()) handle(waiting.removeFirst())
        } finally {
            running = false
        }
    }

    /** Hands [event] to the node from any thread. */
    fun submitLater(event: Event): Unit = loop.execute { submit(event) }

    private fun handle(event: Event) {
        suspension.check()?.let { carryOut(Event.Suspended(it)) }
        carryOut(event)
    }

    private fun carryOut(event: Event) {
        for (effect in node.handle(event, MonotonicClock.now())) {
            if (effect is Effect.WakeAt) wakeAt(effect.moment) else effects.carryOut(effect)
        }
    }

    private fun wakeAt(moment: Moment) {
        wake?.cancel(false)
        val delay = maxOf(0L, (moment - MonotonicClock.now()).inWholeNanoseconds)
        wake = loop.schedule({ submit(Event.Woken) }, delay, TimeUnit.NANOSECONDS)
    }
}
