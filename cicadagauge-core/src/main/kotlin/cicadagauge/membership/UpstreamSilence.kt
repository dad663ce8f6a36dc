package cicadagauge.membership

import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.ReachabilitySettings

/** Watches whether the upstreams at which requests of this VM run have all stopped answering. */
internal class UpstreamSilence(private val settings: ReachabilitySettings) {
    private val running = HashMap<UpstreamId, Int>()
    private var busySince = Moment.PAST
    private var lastAnswerAt = Moment.PAST

    /** Whether any request runs at an upstream. */
    val hasRunning: Boolean get() = running.isNotEmpty()

    /** Notes that a request was sent to [upstream]. */
    fun requestSent(upstream: UpstreamId, now: Moment) {
        if (running.isEmpty()) busySince = now
        running.merge(upstream, 1, Int::plus)
    }

    /**
     * Notes the end of an attempt at [upstream] that began at [since]. Returns whether it failed although no upstream
     * has answered since it began.
     */
    fun attemptEnded(upstream: UpstreamId, since: Moment, isAnswered: Boolean, now: Moment): Boolean {
        running.computeIfPresent(upstream) { _, count -> if (count > 1) count - 1 else null }
        if (isAnswered) lastAnswerAt = now
        return !isAnswered && lastAnswerAt < since
    }

    /** Whether requests run at several upstreams, and none has answered for [ReachabilitySettings.silence]. */
    fun isUniversal(now: Moment): Boolean = running.size > 1 && now - maxOf(busySince, lastAnswerAt) >= settings.silence

    /** Begins anew. */
    fun reset(now: Moment) {
        busySince = now
    }
}
