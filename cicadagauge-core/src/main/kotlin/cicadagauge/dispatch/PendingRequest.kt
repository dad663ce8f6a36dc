package cicadagauge.dispatch

import cicadagauge.declaration.DeclarationDefaults
import cicadagauge.declaration.Pool
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.CustomerName
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Moment
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.peer.CrashRecord

/**
 * A request that a VM has accepted and not yet answered.
 *
 * @property slot the slot of the request's key; null for a pool without keys
 * @property inTimeBy until when an answer is in time; null if any answer before the deadline is
 * @property isRelayedHere whether another VM admitted the request and relayed it here. This VM then acts as its home,
 *     even if by its own view of the VMs another one is.
 * @property maxRuns how many attempts may have run at an upstream before the request is no longer retried
 * @property head the digest of the request's head
 * @property zoneSelector the zones that may serve a request without a key
 */
internal class PendingRequest(
    val id: RequestId,
    val pool: Pool,
    val requestClass: RequestClass,
    val idempotent: Boolean,
    val customer: CustomerName,
    val slot: Slot?,
    val deadline: Moment,
    val inTimeBy: Moment? = null,
    val isRelayedHere: Boolean = false,
    val maxRuns: Int = DeclarationDefaults.MAX_ATTEMPTS,
    val head: HeadDigest,
    val zoneSelector: ZoneSelector = ZoneSelector(emptyList()),
) {
    var state: State = State.Idle

    /** How often the request was relayed or sent to an upstream. */
    var attempts = 0

    /** The number of attempts that may have run. */
    var runs = 0

    /** Whether this VM has sent the request to an upstream. */
    var wasSent = false

    /** Whether an attempt has reached an upstream, which may have rejected it. */
    var hasReachedUpstream = false

    /** What was known of the request's [fingerprint] when it was last sent to an upstream. */
    var crashRecord = CrashRecord.NONE

    /** Whether the body that has been read is retained, so that the request can be sent again. */
    var isBodyRetained = true

    /** The digest of the body, or null if too little of the body is known. */
    var body: BodyDigest? = null

    /** The fingerprint of the request, or null if too little of its body is known. */
    val fingerprint: RequestFingerprint? get() = body?.let { RequestFingerprint(customer, head, it) }

    /** The step that the request is in. */
    sealed interface State {
        /** Between two steps; not kept beyond the handling of one event. */
        data object Idle : State

        /** Waits for its body, without which it is not known whether the request is in quarantine. */
        data object AwaitingBody : State

        /** Waits for the check of an upstream that a request with the same content may have crashed. */
        data object AwaitingCrashCheck : State

        /** Waits for [home] to grant a permit; without an answer by [answerDue] the reservation is sent again. */
        class Reserving(val home: VmId, val answerDue: Moment) : State

        /** Waits until [until] before the next reservation. */
        class BackingOff(val until: Moment) : State

        /** Was relayed to [home], which will answer it. */
        class Relayed(val home: VmId) : State

        /** Runs at [upstream] since [since], with a permit of [home]. */
        class Running(val home: VmId, val upstream: UpstreamId, val since: Moment) : State
    }

    companion object {
        /** The customer of requests on open routes, which need no API key. */
        val NO_CUSTOMER = CustomerName("-")
    }
}
