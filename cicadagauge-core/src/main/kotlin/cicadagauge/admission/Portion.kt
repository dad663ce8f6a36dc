package cicadagauge.admission

import cicadagauge.declaration.Customer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** One entry VM's equal part of a customer's rate and burst; [burst] is a number of requests. */
internal data class Portion(val ratePerSecond: Double, val burst: Double) {
    /** The lifetime of a lent token: at most [limit], and at most the time in which half of the burst accrues. */
    fun loanLifetime(limit: Duration): Duration = minOf(limit, (burst / (2 * ratePerSecond)).seconds)

    /**
     * The most tokens of this portion that a coordinator may accumulate. A lent token may be used up to
     * [loanLifetime] later, so the tokens that accrue in that time are set aside from the burst.
     */
    fun maxLendableTokens(limit: Duration): Double =
        burst - ratePerSecond * loanLifetime(limit).toDouble(DurationUnit.SECONDS)

    companion object {
        /**
         * The portion of [customer] for each of [vms] VMs. The rate is reduced by [drift], the fraction by which a VM's
         * clock may run fast.
         */
        fun of(customer: Customer, vms: Int, drift: Double): Portion =
            Portion(customer.ratePerSecond * (1 - drift) / vms, customer.burst.toDouble() / vms)
    }
}
