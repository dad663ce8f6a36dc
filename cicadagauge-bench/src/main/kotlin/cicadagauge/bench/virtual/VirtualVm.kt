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
import cicadagauge.store.NodeCodecs

/** Carries out the effects of nodes. */
fun interface EffectSink {
    /** Carries out [effect], which the node on [vm] returned. */
    fun execute(vm: VirtualVm, effect: Effect)
}

/** One entry VM under virtual time. While it is paused, events are deferred; once it has crashed, they are dropped. */
class VirtualVm(
    val settings: NodeSettings,
    private val time: VirtualTime,
    private val clock: VirtualClock,
    private val sink: EffectSink,
    codecs: NodeCodecs = JsonCodecs.all(),
) {
    private val node = DefaultNode(settings, codecs, clock.now())
    private val deferredEvents = ArrayDeque<Event>()
    private val crashListeners = ArrayDeque<() -> Unit>()
    private val address = Address(settings.vm.value, port = 1)
    private var lastWakeUp = 0L
    private var ready = false
    private var nextReadinessCheckAt = 0L

    /** The network address of the VM. */
    val endpoint = Endpoint(settings.vm.value, settings.zone.value)

    /** The entry of this VM in the list that the platform publishes. */
    val listEntry: Vm get() = Vm(settings.vm, address, address, settings.zone, leaving)

    /** Whether the platform has announced that the VM is about to be removed. */
    var leaving = false

    /** Whether the VM has crashed. A crashed VM never comes back. */
    var crashed = false
        private set

    /** Whether the VM is paused: its clock goes on, but it handles no events. */
    var paused = false
        private set

    /** Real time spent in the node handling events, in nanoseconds. */
    var handlingNanos = 0L
        private set

    /** The number of events that the node has handled. */
    var handledEvents = 0L
        private set

    val id: VmId get() = settings.vm

    val zone: AvailabilityZone get() = settings.zone

    /** The virtual time until the VM's clock reads [moment], in nanoseconds; negative or zero if that has passed. */
    fun nanosUntil(moment: Moment): Long = clock.virtualTimeOf(moment) - time.now

    /**
     * Whether the load balancer sends requests to the VM. The node's status is checked at most once per
     * [READINESS_CHECK_INTERVAL_NANOS]; a crash or pause shows at once.
     */
    fun isReady(): Boolean {
        if (time.now >= nextReadinessCheckAt) {
            ready = !crashed && !paused && status().ready
            nextReadinessCheckAt = time.now + READINESS_CHECK_INTERVAL_NANOS
        }
        return ready && !crashed && !paused
    }

    /** The status that the node reports. */
    fun status(): NodeStatus = node.status(clock.now())

    /** Lets the node handle [event] and carries out the resulting effects. */
    fun submit(event: Event) {
        if (crashed) return
        if (paused) {
            deferredEvents.addLast(event)
            return
        }
        val begin = System.nanoTime()
        val effects = node.handle(event, clock.now())
        handlingNanos += System.nanoTime() - begin
        handledEvents++
        for (effect in effects) if (effect is Effect.WakeAt) wakeAt(effect.moment) else sink.execute(this, effect)
    }

    /** Suspends the VM; its clock goes on. */
    fun pause() {
        paused = true
    }

    /** Continues a paused VM and handles the events that were deferred. */
    fun resume() {
        paused = false
        while (deferredEvents.isNotEmpty() && !paused) submit(deferredEvents.removeFirst())
    }

    /** The current reading of the VM's clock. */
    fun now(): Moment = clock.now()

    /**
     * Calls [listener] once when the VM crashes, as a peer that sees its connection break. Only the last
     * [MAX_CRASH_LISTENERS] callbacks are kept.
     */
    fun onCrash(listener: () -> Unit) {
        if (crashListeners.size >= MAX_CRASH_LISTENERS) crashListeners.removeFirst()
        crashListeners.addLast(listener)
    }

    /** Ends the VM at once. Deferred events are lost. */
    fun crash() {
        crashed = true
        deferredEvents.clear()
        val listeners = ArrayList(crashListeners)
        crashListeners.clear()
        listeners.forEach { it() }
    }

    private fun wakeAt(moment: Moment) {
        val wakeUp = ++lastWakeUp
        time.at(clock.virtualTimeOf(moment)) { if (wakeUp == lastWakeUp) submit(Event.Woken) }
    }

    private companion object {
        const val MAX_CRASH_LISTENERS = 5_000
        const val READINESS_CHECK_INTERVAL_NANOS = 50_000_000L
    }
}
