package cicadagauge.node

import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.PoolName
import cicadagauge.identity.Slot
import kotlin.time.Duration

/**
 * The parameters of a request that another VM has admitted, as its home VM needs them to schedule it.
 *
 * @property customer customer that sent the request; `-` on an open route.
 * @property maxRuns maximum number of times that the request may still run at upstreams.
 * @property zone availability zone whose upstreams may serve a request without a [slot], or null.
 * @property maySpill whether the home VM refuses the request rather than queueing it for long, because the admitting VM
 * can try another zone.
 * @property targetLeft time within which an answer is in time, negative if it is late already; null if any answer
 * before the deadline is in time.
 */
public data class RelayedRequest(
    val pool: PoolName,
    val slot: Slot?,
    val requestClass: RequestClass,
    val customer: CustomerName,
    val idempotent: Boolean,
    val maxRuns: Int,
    val zone: AvailabilityZone?,
    val maySpill: Boolean,
    val targetLeft: Duration? = null,
)
