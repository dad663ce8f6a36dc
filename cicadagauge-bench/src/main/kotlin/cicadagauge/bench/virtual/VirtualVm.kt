package cicadagauge.bench.virtual

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.node.DefaultNode
import cicadagauge.node.Effect
import cicadagauge.node.Event
import cicadagauge.node.NodeSettings
import cicadagauge.node.NodeStatus
import cicadagauge.store.JsonCodecs

/** Carries out the effects of nodes. */
fun interface EffectSink {
    /** Carries out [effect], which the node on [vm] returned. */
    fun carryOut(vm: VirtualVm, effect: Effect)
}

/** One entry VM under virtual time. While it is paused, events are deferred; once it has crashed, they are dropped. */
class VirtualVm(
    val settings: NodeSettings,
    private val time: VirtualTime,
    private val clock: VirtualClock,
    private val sink: EffectSink,
) {
    private val node = DefaultNode(settings, JsonCodecs.all(), clock.now())
    private val held = ArrayDeque<Event>()
    private val connections = ArrayDeque<() -> Unit>()
    private val address = Address(settings.vm.value, port = 1)
    private var wakes = 0L
    private var ready = false
    private var readyUntil = 0L

    /** The network address of the VM. */
    val site = Site(settings.vm.value, settings.zone.value)

    /** The entry of this VM in the list that the platform publishes. */
    val listed: Vm get() = Vm(settings.vm, address, address, settings.zone, leaving)

    /** Whether the platform has announced that the VM is about to be removed. */
    var leaving = false

    /** Whether the VM has crashed. A crashed VM never comes back. */
    var crashed = false
        private set

    /** Whether the VM is paused: its clock goes on, but it handles no events. */
    var paused = false
        private set

    /** Real time spent in the node handling events, in nanoseconds. */
    var processorNanos = 0L
        private set

    /** The number of events that the node has handled. */
    var events = 0L
        private set

    val id: VmId get() = settings.vm

    val zone: AvailabilityZone get() = settings.zone

    /** The virtual time until the VM's clock reads [moment], in nanoseconds; negative or zero if that has passed. */
    fun timeUntil(moment: Moment): Long = clock.timeOf(moment) - time.now

    /** Whether the load balancer sends requests to the VM. It checks readiness every [READY_CHECK_NANOS]. */
    fun isReady(): Boolean {
        if (time.now >= readyUntil) {
            ready = !crashed && !paused && status().ready
            readyUntil = time.now + READY_CHECK_NANOS
        }
        return ready && !crashed && !paused
    }

    /** The status that the node reports. */
    fun status(): NodeStatus = node.status(clock.now())

    /** Lets the node handle [event] and carries out the resulting effects. */
    fun submit(event: Event) {
        if (crashed) return
        if (paused) {
            held.addLast(event)
            return
        }
        val begin = System.nanoTime()
        val effects = node.handle(event, clock.now())
        processorNanos += System.nanoTime() - begin
        events++
        for (effect in effects) if (effect is Effect.WakeAt) wakeAt(effect.moment) else sink.carryOut(this, effect)
    }

    /** Suspends the VM; its clock goes on. */
    fun pause() {
        paused = true
    }

    /** Continues a paused VM and handles the events that were deferred. */
    fun resume() {
        paused = false
        while (held.isNotEmpty() && !paused) submit(held.removeFirst())
    }

    /** The current reading of the VM's clock. */
    fun now(): Moment = clock.now()

    /**
     * Calls [broken] once when the VM crashes, as a peer that sees its connection break. Only the last
     * [MAX_CONNECTIONS] callbacks are kept.
     */
    fun onCrash(broken: () -> Unit) {
        if (connections.size >= MAX_CONNECTIONS) connections.removeFirst()
        connections.addLast(broken)
    }

    /** Ends the VM at once. Deferred events are lost. */
    fun crash() {
        crashed = true
        held.clear()
        val broken = ArrayList(connections)
        connections.clear()
        broken.forEach { it() }
    }

    private fun wakeAt(moment: Moment) {
        val wake = ++wakes
        time.at(clock.timeOf(moment)) { if (wake == wakes) submit(Event.Woken) }
    }

    private companion object {
        const val MAX_CONNECTIONS = 5_000
        const val READY_CHECK_NANOS = 50_000_000L
    }
}
