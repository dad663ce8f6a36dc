/*
 * Reconstructs one request from the logs of all VMs: its own events in the order of time, and the state changes that
 * the VMs involved logged shortly before and during it.
 */
package cicadagauge.cli.explain

import cicadagauge.store.Json
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant
import java.time.OffsetDateTime
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeParseException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** An event of a VM's log: its [time] on that VM's clock, the [vm] that logged it, its [name] and [fields]. */
internal class LogEvent(val time: Instant, val vm: String, val name: String, val fields: Map<String, String>) {
    /** The id of the request that the event belongs to, or null. */
    val request: String? get() = fields["request"]

    /** Whether this VM refused the request itself, rather than passing on the refusal of another VM. */
    val isRefusal: Boolean get() = name == "request-refused" && !detail.startsWith(RELAYED_REFUSAL_PREFIX)

    private val detail: String get() = fields["detail"].orEmpty()

    override fun toString(): String {
        val rest = fields.filterKeys { it !in HEADER_FIELDS }.map { (key, value) -> "$key=$value" }.joinToString(" ")
        return "$time $vm $name $rest"
    }

    companion object {
        private val HEADER_FIELDS = setOf("event", "vm", "request")

        /** Start of the detail that an entry VM logs when it passes on the refusal of the home VM. */
        private const val RELAYED_REFUSAL_PREFIX = "refused by the home VM"
        private val TIME_FORMAT = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSxx")

        /** Parses the event in [line], or returns null if there is none. Text before the JSON object is skipped. */
        fun parse(line: String): LogEvent? {
            val start = line.indexOf('{').takeIf { it >= 0 } ?: return null
            val tree = parseJson(line.substring(start)) ?: return null
            val fields = tree["message"]?.takeIf { it.isObject }?.let(::fieldsOf) ?: return null
            val time = tree["time"]?.asText()?.let(::parseTime) ?: return null
            return LogEvent(time, fields["vm"] ?: return null, fields["event"] ?: return null, fields)
        }

        private fun fieldsOf(message: JsonNode): Map<String, String> =
            message.properties().associate { (key, value) -> key to value.asText() }

        private fun parseJson(text: String): JsonNode? = try {
            Json.treeMapper.readTree(text)
        } catch (_: JacksonException) {
            null
        }

        private fun parseTime(text: String): Instant? = try {
            OffsetDateTime.parse(text, TIME_FORMAT).toInstant()
        } catch (_: DateTimeParseException) {
            null
        }
    }
}

/**
 * The history of one request.
 *
 * @property events the request's own events, in the order of time
 * @property stateChanges state changes of the VMs involved, from [STATE_CHANGE_WINDOW] before the first event to the
 *   last one, in the order of time
 */
internal class RequestHistory(val events: List<LogEvent>, val stateChanges: List<LogEvent>) {
    /**
     * The event that decided the outcome: the first refusal that a VM made itself, unless an attempt explains it; else
     * the last attempt at an upstream, which is logged only if it failed; else the last event. Null without events.
     */
    val decidingEvent: LogEvent? = events.firstOrNull { it.isRefusal && !followsAttempt(it) }
        ?: events.lastOrNull { it.name == "attempt-ended" && it.fields["relay"] == "false" }
        ?: events.lastOrNull()

    /** Whether the VM that refused had logged a failed attempt at an upstream, which is then the cause. */
    private fun followsAttempt(refusal: LogEvent): Boolean = events.any {
        it.name == "attempt-ended" && it.vm == refusal.vm && it.time <= refusal.time && it.fields["relay"] == "false"
    }

    companion object {
        private val STATE_CHANGE_WINDOW: Duration = 3.seconds
        private val STATE_CHANGE_EVENTS = setOf(
            "started", "stopping", "declaration-in-force", "zone-out", "duty-taken", "duty-lost", "owners-changed",
            "fence-refused", "owner-suspected", "store-reachable", "upstream-reachable", "suspended",
            "registration-unreadable",
        )

        /** Collects the events of request [id] and the state changes around them from log [lines]. */
        fun of(id: String, lines: Sequence<String>): RequestHistory {
            val candidates = lines.filter { line ->
                id in line || STATE_CHANGE_EVENTS.any { it in line }
            }.mapNotNull(LogEvent::parse).toList()
            val requestEvents = candidates.filter { it.request == id }.sortedBy { it.time }
            val first = requestEvents.firstOrNull()?.time ?: return RequestHistory(emptyList(), emptyList())
            val involvedVms = requestEvents.map { it.vm }.toSet()
            val windowStart = first - STATE_CHANGE_WINDOW.toJavaDuration()
            val stateChanges = candidates.filter {
                it.name in STATE_CHANGE_EVENTS &&
                    it.vm in involvedVms &&
                    it.time in windowStart..requestEvents.last().time
            }
            return RequestHistory(requestEvents, stateChanges.sortedBy { it.time })
        }
    }
}
