package cicadagauge.bench.virtual

import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.node.UpstreamState
import cicadagauge.outcome.AttemptOutcome
import cicadagauge.outcome.NotRunCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a VM loses the upstreams that it is cut off from. */
enum class CutKind {
    /** Nothing gets through any more, neither on open connections nor for new ones. */
    Hang,

    /** Open connections break, and new ones are refused. */
    Refuse,

    /** Open connections go on working, and new ones are refused. */
    LiveOn,
}

/**
 * The connections from VMs to upstreams. Each carries one request at a time and is kept open afterwards, so that it can
 * be reused. Cuts separate VMs from all upstreams.
 */
class VirtualConnections(private val time: VirtualTime, private val network: VirtualNetwork) {
    private val idle = HashMap<Path, Int>()
    private val attempts = HashMap<VmId, LinkedHashSet<Attempt>>()
    private val cuts = HashMap<VmId, Cut>()

    /** Cuts [vm] off from all [upstreams]. */
    fun cut(vm: VirtualVm, upstreams: Collection<VirtualUpstream>, kind: CutKind) {
        val endpoints = upstreams.map { it.endpoint }.toSet()
        val partition = if (kind == CutKind.LiveOn) {
            null
        } else {
            network.partition { one, other -> one == vm.endpoint && other in endpoints }
        }
        cuts[vm.id] = Cut(kind, partition)
        if (kind != CutKind.Refuse) return
        idle.keys.removeIf { it.vm == vm.id }
        attempts.remove(vm.id).orEmpty().forEach { it.end(AttemptOutcome.Lost(timedOut = false)) }
    }

    /** Lets [vm] reach the upstreams again. Connections that hung are not used any more. */
    fun heal(vm: VirtualVm) {
        val cut = cuts.remove(vm.id) ?: return
        cut.partition?.heal()
        if (cut.kind == CutKind.Hang) idle.keys.removeIf { it.vm == vm.id }
    }

    /**
     * Begins an attempt of [vm] at [upstream], over an idle connection where there is one. [send] sends the request, if
     * there is a connection; [onEnded] is called once, with the outcome that is passed to [Attempt.end].
     */
    fun begin(
        vm: VirtualVm,
        upstream: VirtualUpstream,
        onEnded: (AttemptOutcome) -> Unit,
        send: (Attempt) -> Unit,
    ): Attempt {
        val path = Path(vm.id, upstream.declared.id)
        val attempt = Attempt(path, onEnded)
        attempts.getOrPut(vm.id) { LinkedHashSet() } += attempt
        val reusable = idle[path] ?: 0
        when {
            reusable > 0 && !upstream.crashed -> {
                idle[path] = reusable - 1
                send(attempt)
            }
            upstream.crashed || vm.id in cuts -> time.after(timeToFail(vm, upstream)) {
                attempt.end(AttemptOutcome.NotRun(NotRunCause.Unreachable))
            }
            else -> send(attempt)
        }
        return attempt
    }

    /** Opens a connection from [vm] to [upstream] and closes it; [onChecked] is told what that shows. */
    fun check(vm: VirtualVm, upstream: VirtualUpstream, onChecked: (UpstreamState) -> Unit) {
        val state = when {
            cuts[vm.id]?.kind == CutKind.Hang -> UpstreamState.Silent
            upstream.crashed || vm.id in cuts -> UpstreamState.Refusing
            else -> UpstreamState.Accepting
        }
        time.after(timeToFail(vm, upstream)) { onChecked(state) }
    }

    private fun timeToFail(vm: VirtualVm, upstream: VirtualUpstream): Duration =
        if (cuts[vm.id]?.kind == CutKind.Hang) CONNECT_TIMEOUT else network.delay(vm.endpoint, upstream.endpoint) * 2

    /** An attempt over one connection. */
    inner class Attempt internal constructor(private val path: Path, private val onEnded: (AttemptOutcome) -> Unit) {
        private var hasEnded = false

        /** Ends the attempt with [outcome], unless it has ended. The connection of an answered one is kept. */
        fun end(outcome: AttemptOutcome) {
            if (hasEnded) return
            hasEnded = true
            attempts[path.vm]?.remove(this)
            if (outcome is AttemptOutcome.Answered) idle.merge(path, 1, Int::plus)
            onEnded(outcome)
        }
    }

    internal data class Path(val vm: VmId, val upstream: UpstreamId)

    private class Cut(val kind: CutKind, val partition: VirtualNetwork.Partition?)

    private companion object {
        val CONNECT_TIMEOUT = 300.milliseconds
    }
}
