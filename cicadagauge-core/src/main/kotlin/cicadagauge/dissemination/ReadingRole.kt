package cicadagauge.dissemination

import cicadagauge.identity.Moment
import cicadagauge.node.StoreNewsSettings
import kotlin.time.Duration

/**
 * Decides whether this VM reads the store itself: because it is one of the watchers, because the fleet is so small that
 * every VM does, or because it has had no news from the watchers for [StoreNewsSettings.readAfter]. The news counts as
 * if it had arrived when its sender last had an answer from the store.
 */
internal class ReadingRole(private val settings: StoreNewsSettings, start: Moment) {
    private val firstDecisionAt = start + settings.startPause
    private var newsAt = start
    private var hasNews = false
    private var eligibleSince: Moment? = null
    private var changedAt = start

    /** Whether this VM reads the store itself. */
    var isReading: Boolean = false
        private set

    /** Notes that this VM knew, at [moment], all that a watcher had read. */
    fun newsReceived(moment: Moment) {
        hasNews = true
        newsAt = maxOf(newsAt, moment)
    }

    /** The age of the news at [now]. */
    fun newsAge(now: Moment): Duration = now - newsAt

    /** Whether other VMs are to be asked for news, if this one gets none from the store itself. */
    fun needsNews(now: Moment): Boolean = now >= firstDecisionAt && (!hasNews || newsAge(now) > settings.queryAfter)

    /** Decides anew; true if the decision has changed. */
    fun decide(isEligible: Boolean, includesEveryVm: Boolean, now: Moment): Boolean {
        eligibleSince = if (isEligible) eligibleSince ?: now else null
        val next = now >= firstDecisionAt && (includesEveryVm || mustRead(now))
        if (next == isReading) return false
        isReading = next
        changedAt = now
        return true
    }

    private fun mustRead(now: Moment): Boolean {
        val since = eligibleSince
        return when {
            since != null -> isReading || needsNews(now) || since + settings.settleTime <= now
            isReading -> needsNews(now) || changedAt + settings.settleTime > now
            else -> newsAge(now) > settings.readAfter
        }
    }
}
