package cicadagauge.membership

import cicadagauge.identity.Moment
import cicadagauge.node.DisseminationSettings
import cicadagauge.node.Timers

/**
 * Notices that the first watcher has stopped, although its lapsed registration may be a change that the store lost with
 * the watches. The watchers next in rank ping those before them, so the cost doesn't grow with the number of VMs.
 * [onRankChanged] is called when one of these has become suspect, which moves this VM up.
 */
internal class WatcherMonitor(
    private val vms: VmDirectory,
    private val watchers: Watchers,
    private val settings: DisseminationSettings,
    private val timers: Timers,
    private val onRankChanged: (Moment) -> Unit,
) {
    private val detector = SilenceDetector(
        vms = vms,
        pingInterval = settings.watcherPingInterval,
        timeout = settings.watcherPingTimeout,
        suspicion = settings.watcherSuspicion,
    )

    /** Checks the watchers that rank before this VM, now and every [DisseminationSettings.watcherPingInterval]. */
    fun start(now: Moment) {
        val first = watchers.firstRanked(MONITORED_WATCHERS + 1)
        val rank = first.indexOf(vms.self)
        if (rank > 0 && detector.check(first.take(rank).toSet(), now)) onRankChanged(now)
        timers.at(now + settings.watcherPingInterval, ::start)
    }

    private companion object {
        /** How many watchers may stop at the same time without leaving the others unnoticed. */
        const val MONITORED_WATCHERS = 2
    }
}
