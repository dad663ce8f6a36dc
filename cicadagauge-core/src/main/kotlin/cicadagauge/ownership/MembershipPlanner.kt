/*
 * Decides which upstreams of a pool may own slots, and which share of its slots each may own. Lost upstreams are
 * removed at once and all together. Changes that can wait (a planned removal, a return, warming up) are spread over
 * time, so that no upstream takes over many slots at a time.
 */
package cicadagauge.ownership

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Pool
import cicadagauge.identity.Moment
import cicadagauge.identity.UpstreamId
import cicadagauge.node.OwnershipSettings
import kotlin.time.Duration

/** Plans the members of one pool and their shares. */
internal class MembershipPlanner(private val settings: OwnershipSettings) {
    private val shareChangedAt = HashMap<UpstreamId, Moment>()
    private val lossCounts = HashMap<UpstreamId, Int>()
    private var lastGradualChangeAt = Moment.PAST

    /** The members that [pool] should have at [now], given the [current] ones; [lossesOnly] allows no other change. */
    fun plan(
        current: List<Member>,
        pool: Pool,
        declaration: Declaration,
        holders: Map<UpstreamId, HolderState>,
        lossesOnly: Boolean,
        now: Moment,
    ): List<Member> {
        val lost = current.map { member ->
            if (isLost(member, holders, lossesOnly, now)) markLost(member.upstream) else member
        }
        if (lost != current || lossesOnly) return keepCurrentIfEmpty(lost, current)
        if (now < lastGradualChangeAt + settings.minMemberChangeInterval) return current
        val planned = changeGradually(current, withDeclared(current, pool), pool, declaration, holders, now)
        if (planned != current) lastGradualChangeAt = now
        return keepCurrentIfEmpty(planned, current)
    }

    private fun isLost(
        member: Member,
        holders: Map<UpstreamId, HolderState>,
        lossesOnly: Boolean,
        now: Moment,
    ): Boolean {
        val holder = holders[member.upstream] ?: return false
        if (member.share == Member.NO_SHARE) return false
        return (holder.isSilent(now) && holder.hasLapsed(now)) || (lossesOnly && holder.isRestartedAndLapsed(now))
    }

    private fun markLost(upstream: UpstreamId): Member {
        lossCounts.merge(upstream, 1, Int::plus)
        shareChangedAt -= upstream
        return Member(upstream, Member.NO_SHARE)
    }

    /** Adds members that are newly declared, at no share, and removes those that are neither declared nor own slots. */
    private fun withDeclared(current: List<Member>, pool: Pool): List<Member> {
        val declared = pool.upstreams.map { it.id }.toSet()
        val known = current.map { it.upstream }.toSet()
        return current.filter { it.upstream in declared || it.share > Member.NO_SHARE } +
            (declared - known).map { Member(it, Member.NO_SHARE) }
    }

    /** Changes at most 1/[MAX_CHANGE_DIVISOR] of the members, but always allows one change; removals come first. */
    private fun changeGradually(
        current: List<Member>,
        members: List<Member>,
        pool: Pool,
        declaration: Declaration,
        holders: Map<UpstreamId, HolderState>,
        now: Moment,
    ): List<Member> {
        val declared = pool.upstreams.associateBy { it.id }
        val wanted = members.associate { member ->
            val upstream = declared[member.upstream]
            val isOut = upstream == null || declaration.isOut(upstream)
            member.upstream to wantedShare(member, isOut, holders[member.upstream], now)
        }
        val changing = members.filter { wanted[it.upstream] != it.share }
            .sortedBy { wanted.getValue(it.upstream) > it.share }
            .take(maxOf(1, current.size / MAX_CHANGE_DIVISOR))
            .map { it.upstream }
            .toSet()
        return members.map { member ->
            if (member.upstream !in changing) return@map member
            shareChangedAt[member.upstream] = now
            Member(member.upstream, wanted.getValue(member.upstream))
        }
    }

    private fun wantedShare(member: Member, isOut: Boolean, holder: HolderState?, now: Moment): Int {
        if (isOut || holder?.isDraining == true) return Member.NO_SHARE
        if (holder == null || holder.isSilent(now) || !holder.isClaimed) return member.share
        if (member.share > Member.NO_SHARE) return nextShare(member, now)
        return if (now >= holder.steadySince + requiredSteadyTime(member.upstream)) INITIAL_SHARE else Member.NO_SHARE
    }

    private fun nextShare(member: Member, now: Moment): Int {
        if (member.share >= Member.FULL_SHARE) return member.share
        val changedAt = shareChangedAt.getOrPut(member.upstream) { now }
        if (now < changedAt + settings.warmUpStep) return member.share
        return minOf(Member.FULL_SHARE, member.share * SHARE_GROWTH)
    }

    /** How long an upstream must answer without interruption before it may own slots again; doubles with each loss. */
    private fun requiredSteadyTime(upstream: UpstreamId) = when (val count = lossCounts[upstream] ?: 0) {
        0 -> Duration.ZERO
        else -> settings.warmUpStep * (1 shl minOf(count - 1, MAX_DOUBLINGS))
    }

    /** Returns [current] if no member of [planned] may own slots: there is no upstream to move the slots to. */
    private fun keepCurrentIfEmpty(planned: List<Member>, current: List<Member>): List<Member> =
        if (planned.any { it.share > Member.NO_SHARE }) planned else current

    private companion object {
        /** One step changes at most one in this many members. */
        const val MAX_CHANGE_DIVISOR = 8

        /** The share, in percent, of an upstream that begins to warm up. */
        const val INITIAL_SHARE = 25

        /** The factor by which a warm-up step raises the share. */
        const val SHARE_GROWTH = 2

        /** How often the required time of steady answers doubles at most: up to 32 warm-up steps. */
        const val MAX_DOUBLINGS = 5
    }
}
