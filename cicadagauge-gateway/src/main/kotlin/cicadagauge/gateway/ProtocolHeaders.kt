package cicadagauge.gateway

/**
 * Headers of the router's own protocol, in lower case, and its reserved paths. Callers' headers that start with
 * [PREFIX] are never forwarded to an upstream.
 */
public object ProtocolHeaders {
    public const val PREFIX: String = "x-cicadagauge-"

    /** To callers: the verdict of a refusal. From upstreams: `not-run` proves that the request did not run. */
    public const val VERDICT: String = "x-cicadagauge-verdict"

    /** To callers: the stable reason code of a refusal. From upstreams: why the request did not run. */
    public const val REASON: String = "x-cicadagauge-reason"

    /** From callers: their own identifier for the request, which is written to the logs. */
    public const val REQUEST_ID: String = "x-request-id"

    /** To callers: how long to wait before a retry, in milliseconds; more precise than `Retry-After`. */
    public const val RETRY_AFTER: String = "x-cicadagauge-retry-after-ms"

    /** From callers, between VMs and to upstreams: the time left to answer, in milliseconds. */
    public const val DEADLINE: String = "x-cicadagauge-deadline-ms"

    /** To upstreams: the slot that the request's routing key hashes to. */
    public const val SLOT: String = "x-cicadagauge-slot"

    /** To upstreams: the version of the ownership record by which the sender chose the upstream. */
    public const val VERSION: String = "x-cicadagauge-version"

    /** Between VMs and to upstreams' control paths: the deployment's secret. */
    public const val SECRET: String = "x-cicadagauge-secret"

    /** Between VMs: what the home VM needs to know of a relayed request. */
    public const val RELAY: String = "x-cicadagauge-relay"

    /** Between VMs: the id of the sending VM. */
    public const val VM: String = "x-cicadagauge-vm"

    /** The path on which upstreams take grant orders. */
    public const val GRANT_PATH: String = "/.cicadagauge/grant"

    /** The prefix of paths that callers can't request. */
    public const val RESERVED_PATH: String = "/.cicadagauge"
}
