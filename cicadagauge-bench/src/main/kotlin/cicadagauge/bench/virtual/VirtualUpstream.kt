package cicadagauge.bench.virtual

import cicadagauge.declaration.Upstream
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Slot
import cicadagauge.outcome.NotRunCause
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.standins.upstream.UpstreamModel
import cicadagauge.standins.upstream.UpstreamTraits

/** What became of a request at an upstream. */
sealed interface RunResult {
    /** It ran and took effect. */
    data object Ran : RunResult

    /** It did not run. */
    data class NotRun(val cause: NotRunCause) : RunResult
}

/** One upstream under virtual time. */
class VirtualUpstream(
    val declared: Upstream,
    private val traits: UpstreamTraits,
    private val time: VirtualTime,
    private val clock: VirtualClock,
) {
    private var runs = 0
    private val held = ArrayDeque<() -> Unit>()
    private val connections = ArrayDeque<() -> Unit>()

    /** Where the upstream is on the network. */
    val site = Site(declared.id.value, declared.zone.value)

    /** The pool that the upstream belongs to. */
    val pool get() = traits.pool

    /** The present run. */
    var model = newRun()
        private set

    /** Whether the upstream is gone until [restart]. */
    var crashed = false
        private set

    /** Whether the upstream stands still. */
    var frozen = false
        private set

    /** Whether the upstream may run a request for [slot] now, on its own clock. */
    fun owns(slot: Slot): Boolean = !crashed && model.owns(slot, clock.now())

    /** Handles a grant order and passes the report on. */
    fun grant(order: GrantOrder, report: (GrantReport) -> Unit) = whenAwake { report(model.grant(order, clock.now())) }

    /** Runs a request and passes on what became of it; nothing where the upstream crashes meanwhile. */
    fun run(slot: Slot?, began: () -> Unit, ended: (RunResult) -> Unit) = whenAwake {
        val present = model
        when (val start = present.start(slot, clock.now())) {
            is UpstreamModel.Start.Refused -> ended(RunResult.NotRun(start.cause))
            is UpstreamModel.Start.Runs -> {
                began()
                time.after(start.duration) { finish(present, start, ended) }
            }
        }
    }

    /** Ends the upstream at once; its requests are lost. */
    fun crash() {
        crashed = true
        frozen = false
        held.clear()
        val broken = ArrayList(connections)
        connections.clear()
        broken.forEach { it() }
    }

    /** Calls [broken] once when the present run crashes, as a broken connection would show. */
    fun onCrash(broken: () -> Unit) {
        if (connections.size >= MAX_CONNECTIONS) connections.removeFirst()
        connections.addLast(broken)
    }

    /** Starts the upstream anew, cold and without grants. */
    fun restart() {
        crashed = false
        model = newRun()
    }

    /** Lets the upstream stand still; its clock goes on. */
    fun freeze() {
        frozen = true
    }

    /** Lets the upstream go on. */
    fun thaw() {
        frozen = false
        while (held.isNotEmpty() && !frozen) held.removeFirst()()
    }

    private fun finish(run: UpstreamModel, start: UpstreamModel.Start.Runs, ended: (RunResult) -> Unit) {
        if (crashed || run !== model) return
        if (frozen) {
            held.addLast { finish(run, start, ended) }
            return
        }
        val effective = run.finish(start, clock.now())
        ended(if (effective) RunResult.Ran else RunResult.NotRun(NotRunCause.NotOwner))
    }

    private fun whenAwake(task: () -> Unit) {
        if (crashed) return
        if (frozen) held.addLast(task) else task()
    }

    private fun newRun() = UpstreamModel(traits, Incarnation("${declared.id}-run-${++runs}"), clock.now())

    private companion object {
        const val MAX_CONNECTIONS = 1_000
    }
}
