package cicadagauge.gateway.metrics

import cicadagauge.declaration.RequestClass
import cicadagauge.gateway.memory.HeldKind
import cicadagauge.gateway.memory.MemoryAccount
import cicadagauge.identity.CustomerName
import cicadagauge.identity.PoolName
import cicadagauge.node.StateChange
import cicadagauge.outcome.Reason
import cicadagauge.outcome.TruncationCause
import io.prometheus.metrics.core.datapoints.DistributionDataPoint
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of one gateway. Request durations are recorded per customer and class. */
internal class GatewayMetrics(account: MemoryAccount = MemoryAccount(), pendingRequests: () -> Int) {
    private val registry = PrometheusRegistry()
    private val durations = HashMap<Pair<CustomerName?, RequestClass>, DistributionDataPoint>()

    private val requestSeconds = Histogram.builder().name("cicadagauge_request_seconds")
        .help("Time from a request's headers to the end of its answer").labelNames("customer", "class")
        .classicOnly().classicUpperBounds(*BUCKETS).register(registry)
    private val answers = Counter.builder().name("cicadagauge_answers_total")
        .help("Upstreams' answers passed on whole").labelNames("status").register(registry)
    private val refusals = Counter.builder().name("cicadagauge_refusals_total")
        .help("Requests refused").labelNames("reason", "verdict").register(registry)
    private val broken = Counter.builder().name("cicadagauge_broken_answers_total")
        .help("Answers that broke off after a part had gone to the caller").labelNames("cause").register(registry)
    private val repeats = Counter.builder().name("cicadagauge_repeats_total")
        .help("Attempts after one that has reached an upstream").labelNames("pool").register(registry)
    private val unsolicited = Counter.builder().name("cicadagauge_unsolicited_closes_total")
        .help("Connections closed because bytes arrived on them that no request had asked for").register(registry)
    private val readAheadPauses = Counter.builder().name("cicadagauge_read_ahead_pauses_total")
        .help("Pauses of reading from callers who send far ahead of the answers").register(registry)
    private val closed = Counter.builder().name("cicadagauge_closed_connections_total")
        .help("Callers' connections closed or refused to save memory or descriptors").labelNames("cause")
        .register(registry)
    private val changes = Counter.builder().name("cicadagauge_state_changes_total")
        .help("Changes of state, by kind").labelNames("kind").register(registry)

    init {
        GaugeWithCallback.builder().name("cicadagauge_pending_requests").help("Requests accepted and not yet answered")
            .callback { it.call(pendingRequests().toDouble()) }.register(registry)
        GaugeWithCallback.builder().name("cicadagauge_held_bytes").help("Estimated bytes that callers make the VM hold")
            .labelNames("kind")
            .callback { gauge ->
                HeldKind.entries.forEach { gauge.call(account.heldFor(it).toDouble(), it.name.lowercase()) }
            }.register(registry)
        GaugeWithCallback.builder().name("cicadagauge_memory_paused_connections")
            .help("Connections whose reading is paused to save memory")
            .callback { it.call(account.pausedCount.toDouble()) }.register(registry)
    }

    /** Counts a complete response of an upstream. */
    fun countResponse(status: Int) {
        answers.labelValues(status.toString()).inc()
    }

    /** Counts a refusal. */
    fun countRefusal(reason: Reason) {
        refusals.labelValues(reason.code, reason.verdict.code).inc()
    }

    /** Counts an attempt of a request to [pool], an earlier attempt of which has reached an upstream. */
    fun countRepeat(pool: PoolName) {
        repeats.labelValues(pool.value).inc()
    }

    /** Counts a response that was cut short for [cause] after a part of it had been passed to the caller. */
    fun countTruncated(cause: TruncationCause) {
        broken.labelValues(cause.name.lowercase()).inc()
    }

    /** Counts a connection that was closed because bytes arrived on it that no request had asked for. */
    fun countUnsolicited() {
        unsolicited.inc()
    }

    /** Counts a caller's connection that was closed or refused for [cause]. */
    fun countClosed(cause: String) {
        closed.labelValues(cause).inc()
    }

    /** Counts a pause of reading from a caller who sends far ahead of the answers. */
    fun countReadAheadPause() {
        readAheadPauses.inc()
    }

    /** Records how long a request took. */
    fun observeDuration(customer: CustomerName?, requestClass: RequestClass, duration: Duration) {
        val point = durations.getOrPut(customer to requestClass) {
            requestSeconds.labelValues(customer?.value ?: "", requestClass.name.lowercase())
        }
        point.observe(duration.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a change of state. */
    fun countStateChange(change: StateChange) {
        changes.labelValues(change::class.java.simpleName).inc()
    }

    /** All metrics in Prometheus's text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        /** Upper bounds in seconds. */
        val BUCKETS = doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.017, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
    }
}
