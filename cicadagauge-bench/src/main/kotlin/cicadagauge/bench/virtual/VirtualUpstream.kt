package cicadagauge.bench.virtual

import cicadagauge.declaration.Upstream
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Slot
import cicadagauge.outcome.NotRunCause
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.standins.upstream.UpstreamModel
import cicadagauge.standins.upstream.UpstreamSettings

/** The outcome of a request at an upstream. */
sealed interface RunResult {
    /** The request ran and took effect. */
    data object Ran : RunResult

    /** The request ran and took effect, but the connection was closed without an answer. */
    data object AnswerLost : RunResult

    /** The request did not run, or its run had no effect, because of [cause]. */
    data class NotRun(val cause: NotRunCause) : RunResult
}

/** One upstream under virtual time. While it is frozen, its work is deferred; once it has crashed, work is dropped. */
class VirtualUpstream(
    val declared: Upstream,
    private val traits: UpstreamSettings,
    private val time: VirtualTime,
    private val clock: VirtualClock,
) {
    private var runCount = 0
    private val deferredTasks = ArrayDeque<() -> Unit>()
    private val crashListeners = ArrayDeque<() -> Unit>()

    /** The network address of the upstream. */
    val endpoint = Endpoint(declared.id.value, declared.zone.value)

    /** The pool that the upstream belongs to. */
    val pool get() = traits.pool

    /** The state of the upstream since its last start. */
    var model = newRun()
        private set

    /** Whether the upstream has crashed and not been restarted. */
    var crashed = false
        private set

    /** Whether the upstream is frozen: its clock goes on, but it does no work. */
    var frozen = false
        private set

    /** Whether the upstream rejects every request as if it had no free capacity. */
    var rejectsRequests = false

    /** Whether the upstream runs requests but closes the connection instead of answering. */
    var losesAnswers = false

    /** Whether the upstream may run a request for [slot] now, by its own clock. */
    fun owns(slot: Slot): Boolean = !crashed && model.owns(slot, clock.now())

    /** Handles the grant [order]; [report] receives the result. */
    fun grant(order: GrantOrder, report: (GrantReport) -> Unit) = runOrDefer { report(model.grant(order, clock.now())) }

    /**
     * Runs a request for [slot]. [onStarted] is called when the request starts to run and [onEnded] with its outcome;
     * neither is called after a crash.
     */
    fun run(slot: Slot?, onStarted: () -> Unit, onEnded: (RunResult) -> Unit) = runOrDefer {
        val current = model
        if (rejectsRequests) return@runOrDefer onEnded(RunResult.NotRun(NotRunCause.Busy))
        when (val start = current.start(slot, clock.now())) {
            is UpstreamModel.StartResult.Refused -> onEnded(RunResult.NotRun(start.cause))
            is UpstreamModel.StartResult.Started -> {
                onStarted()
                time.after(start.duration) { finish(current, start, onEnded) }
            }
        }
    }

    /** Ends the process at once. Requests in progress are lost. */
    fun crash() {
        crashed = true
        frozen = false
        deferredTasks.clear()
        val listeners = ArrayList(crashListeners)
        crashListeners.clear()
        listeners.forEach { it() }
    }

    /**
     * Calls [listener] once when the upstream crashes, as a client that sees its connection break. Only the last
     * [MAX_CRASH_LISTENERS] callbacks are kept.
     */
    fun onCrash(listener: () -> Unit) {
        if (crashListeners.size >= MAX_CRASH_LISTENERS) crashListeners.removeFirst()
        crashListeners.addLast(listener)
    }

    /** Starts a new process: cold, without grants and with a new incarnation. */
    fun restart() {
        crashed = false
        model = newRun()
    }

    /** Suspends the upstream; its clock goes on. */
    fun freeze() {
        frozen = true
    }

    /** Continues a frozen upstream and runs the work that was deferred. */
    fun thaw() {
        frozen = false
        while (deferredTasks.isNotEmpty() && !frozen) deferredTasks.removeFirst()()
    }

    private fun finish(run: UpstreamModel, start: UpstreamModel.StartResult.Started, onEnded: (RunResult) -> Unit) {
        if (crashed || run !== model) return
        if (frozen) {
            deferredTasks.addLast { finish(run, start, onEnded) }
            return
        }
        val effective = run.finish(start, clock.now())
        if (losesAnswers) return onEnded(RunResult.AnswerLost)
        onEnded(if (effective) RunResult.Ran else RunResult.NotRun(NotRunCause.NotOwner))
    }

    private fun runOrDefer(task: () -> Unit) {
        if (crashed) return
        if (frozen) deferredTasks.addLast(task) else task()
    }

    private fun newRun() = UpstreamModel(traits, Incarnation("${declared.id}-run-${++runCount}"), clock.now())

    private companion object {
        const val MAX_CRASH_LISTENERS = 1_000
    }
}
