/*
 * What the logs of all VMs say of one request, in the order of time: its own lines, and what the VMs that touched it
 * came to believe shortly before.
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

/** One line of a VM's log: when it was written on that VM's clock, by which VM, and the event with its [fields]. */
internal class LogEvent(val time: Instant, val vm: String, val name: String, val fields: Map<String, String>) {
    /** The request that the line is about, or null. */
    val request: String? get() = fields["request"]

    /** Whether the line says that the router itself ended the request, and not another VM of it. */
    val isRefusal: Boolean get() = name == "request-refused" && !detail.startsWith(PASSED_ON)

    private val detail: String get() = fields["detail"].orEmpty()

    override fun toString(): String {
        val rest = fields.filterKeys { it !in LEADING }.map { (key, value) -> "$key=$value" }.joinToString(" ")
        return "$time $vm $name $rest"
    }

    companion object {
        private val LEADING = setOf("event", "vm", "request")

        /** How an entry VM begins the detail where it passes its home's refusal on. */
        private const val PASSED_ON = "refused by the home VM"
        private val TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSxx")

        /** The event that [line] holds, or null where it holds none. Text before the JSON object is passed over. */
        fun of(line: String): LogEvent? {
            val start = line.indexOf('{').takeIf { it >= 0 } ?: return null
            val tree = treeOf(line.substring(start)) ?: return null
            val fields = tree["message"]?.takeIf { it.isObject }?.let(::fieldsOf) ?: return null
            val time = tree["time"]?.asText()?.let(::timeOf) ?: return null
            return LogEvent(time, fields["vm"] ?: return null, fields["event"] ?: return null, fields)
        }

        private fun fieldsOf(message: JsonNode): Map<String, String> =
            message.properties().associate { (key, value) -> key to value.asText() }

        private fun treeOf(text: String): JsonNode? = try {
            Json.trees.readTree(text)
        } catch (_: JacksonException) {
            null
        }

        private fun timeOf(text: String): Instant? = try {
            OffsetDateTime.parse(text, TIME).toInstant()
        } catch (_: DateTimeParseException) {
            null
        }
    }
}

/** The story of one request. [deciding] is the line that says why it failed; [beliefs] came before it. */
internal class RequestStory(val events: List<LogEvent>, val beliefs: List<LogEvent>) {
    /** The first refusal of the router's own, or else the last attempt that did not end in an answer. */
    val deciding: LogEvent? = events.firstOrNull { it.isRefusal && !followsAttempt(it) }
        ?: events.lastOrNull { it.name == "attempt-ended" && it.fields["relay"] == "false" }
        ?: events.lastOrNull()

    /** Where the same VM tells of an attempt before it refuses, the attempt is the reason. */
    private fun followsAttempt(refusal: LogEvent): Boolean = events.any {
        it.name == "attempt-ended" && it.vm == refusal.vm && it.time <= refusal.time && it.fields["relay"] == "false"
    }

    companion object {
        private val BEFORE: Duration = 3.seconds
        private val BELIEFS = setOf(
            "started", "stopping", "declaration-in-force", "zone-out", "duty-taken", "duty-lost", "owners-changed",
            "fence-refused", "store-reachable", "upstream-reachable", "suspended", "registration-unreadable",
        )

        /** What [lines] tell of request [id]. */
        fun of(id: String, lines: Sequence<String>): RequestStory {
            val all = lines.filter { line ->
                id in line || BELIEFS.any { it in line }
            }.mapNotNull(LogEvent::of).toList()
            val own = all.filter { it.request == id }.sortedBy { it.time }
            val first = own.firstOrNull()?.time ?: return RequestStory(emptyList(), emptyList())
            val touching = own.map { it.vm }.toSet()
            val since = first - BEFORE.toJavaDuration()
            val beliefs = all.filter { it.name in BELIEFS && it.vm in touching && it.time in since..own.last().time }
            return RequestStory(own, beliefs.sortedBy { it.time })
        }
    }
}
