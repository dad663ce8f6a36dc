package cicadagauge.declaration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Default values for settings that a [Declaration] omits, and the permitted ranges of those that it sets. */
public object DeclarationDefaults {
    public const val ENTRY_VMS: Int = 9

    /** Value of [Declaration.entryVms] that stands for the number of entry VMs currently in the deployment. */
    public const val DYNAMIC_ENTRY_VMS: Int = 0
    public const val REQUIRES_CUSTOMER_KEY: Boolean = true
    public const val KEYED: Boolean = true
    public const val SLOTS: Int = 1024
    public const val FENCED: Boolean = true
    public const val CONCURRENCY: Int = 2
    public const val CONNECTIONS: Int = 100

    /** Default of [Route.maxAttempts]. */
    public const val MAX_ATTEMPTS: Int = 8

    /** Default of [Route.deadline]. */
    public val DEADLINE: Duration = 2_000.milliseconds

    public val ENTRY_VM_RANGE: IntRange = 1..20_000
    public val SLOT_RANGE: IntRange = 1..65_536
    public val CONCURRENCY_RANGE: IntRange = 1..10_000
    public val CONNECTION_RANGE: IntRange = 1..10_000
    public val DEADLINE_MILLIS_RANGE: IntRange = 1..600_000

    /** Range of [Customer.burst], in requests. */
    public val BURST_RANGE: IntRange = 1..10_000_000

    /** Maximum of [Customer.ratePerSecond]. */
    public const val MAX_RATE_PER_SECOND: Double = 1e9
}
