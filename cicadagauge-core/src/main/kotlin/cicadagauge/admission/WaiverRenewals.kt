/*
 * Many customers are idle on most VMs of a large fleet, and their waivers are renewed all the same. The renewals of one
 * VM at one coordinator are therefore sent as one message, and customers share coordinators.
 */
package cicadagauge.admission

import cicadagauge.identity.CustomerName
import cicadagauge.identity.Moment
import cicadagauge.peer.PeerMessage

/** Converts between requests and replies for single customers and those for several. */
internal object WaiverRenewals {
    /** The messages that carry [requests] to one coordinator. */
    fun combine(requests: List<PeerMessage.BudgetRequest>): List<PeerMessage> {
        val (renewals, others) = requests.partition { it.demand == 0 && !it.leave }
        return others + renewals.groupBy { it.stamp to it.waiver }.map { (terms, group) ->
            val base = group.minOf { it.sequence }
            group.singleOrNull() ?: PeerMessage.WaiverRenewal(
                customers = group.map { it.customer },
                baseSequence = base,
                offsets = group.map { it.sequence - base },
                stamp = terms.first,
                waiver = terms.second,
            )
        }
    }

    /** The single requests that [renewal] stands for. */
    fun requests(renewal: PeerMessage.WaiverRenewal): List<PeerMessage.BudgetRequest> =
        renewal.customers.zip(renewal.offsets) { customer, offset ->
            val sequence = renewal.baseSequence + offset
            PeerMessage.BudgetRequest(customer, sequence, renewal.stamp, renewal.waiver, demand = 0)
        }

    /** The one message that carries [replies], which a coordinator gave at [now]; null if there are none. */
    fun combineReplies(replies: List<PeerMessage.BudgetReply>, now: Moment): PeerMessage.WaiverReply? {
        val base = replies.minOfOrNull { it.sequence } ?: return null
        return PeerMessage.WaiverReply(
            customers = replies.map { it.customer },
            baseSequence = base,
            offsets = replies.map { it.sequence - base },
            stamp = now,
            released = replies.first().released,
            settling = replies.filter { it.settling }.map { it.customer },
        )
    }

    /** The single replies that [reply] stands for. */
    fun replies(reply: PeerMessage.WaiverReply): List<PeerMessage.BudgetReply> =
        reply.customers.zip(reply.offsets) { customer, offset ->
            PeerMessage.BudgetReply(
                customer = customer,
                sequence = reply.baseSequence + offset,
                stamp = reply.stamp,
                tokens = 0,
                released = reply.released,
                settling = customer in reply.settling,
            )
        }

    /** The duty of coordinating [customer]'s budget, which it shares with some of the other customers. */
    fun dutyOf(customer: CustomerName): String = "budget/${customer.value.hashCode().mod(COORDINATOR_GROUPS)}"

    /** How many groups of customers have coordinators of their own. */
    private const val COORDINATOR_GROUPS = 8
}
