package cicadagauge.gateway.environment

/** The paths of the router's own platform services. */
public object PlatformPaths {
    /** Accepts store calls. */
    public const val STORE: String = "/v1/store"

    /** The list of VMs. */
    public const val VMS: String = "/v1/vms"
}
