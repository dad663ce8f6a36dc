package cicadagauge.cli.explain

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun line(second: Int, vm: String, event: String, vararg fields: Pair<String, String>): String {
    val all = mapOf("event" to event, "vm" to vm) + fields
    val message = all.entries.joinToString(",") { (key, value) -> "\"$key\":\"$value\"" }
    return """{"time":"2026-12-04T06:00:%02d.500+0000","level":"INFO","message":{%s}}""".format(second, message)
}

private const val ID = "c1d1"

/** A request that vm-1 accepted and relayed to vm-2, whose upstream did not answer, and unrelated lines. */
private val LOG = listOf(
    line(9, "vm-1", "attempt-ended", "request" to ID, "relay" to "true", "to" to "vm-2", "outcome" to "Refused(...)"),
    line(
        8,
        "vm-2",
        "attempt-ended",
        "request" to ID,
        "relay" to "false",
        "to" to "u7",
        "outcome" to "Lost(timedOut=true)",
    ),
    line(1, "vm-2", "store-reachable", "reachable" to "false"),
    line(7, "vm-2", "owners-changed", "pool" to "p", "moved" to "12"),
    line(7, "vm-3", "owners-changed", "pool" to "p", "moved" to "12"),
    line(8, "vm-2", "request-refused", "request" to "other", "relayed" to "false", "detail" to "the queue is too long"),
    line(
        9,
        "vm-1",
        "request-refused",
        "request" to ID,
        "relayed" to "false",
        "detail" to "refused by the home VM of it",
    ),
    "this is no line of a log",
    "{\"time\":\"nonsense\",\"message\":{\"vm\":\"vm-1\",\"event\":\"started\"}}",
)

class ExplainCommandTest :
    FunSpec({
        fun explain(id: String, log: List<String>): Pair<ExitCode, String> {
            val text = StringBuilder()
            val command = ExplainCommand(log.joinToString("\n").byteInputStream()).also { it.id = id }
            return command.run(Console(text, text)) to text.toString()
        }

        test("events of a request are in the order of time, and the attempt that timed out is decisive") {
            val history = RequestHistory.of(ID, LOG.asSequence())
            history.events.map { "${it.vm} ${it.name}" } shouldContainExactly
                listOf("vm-2 attempt-ended", "vm-1 attempt-ended", "vm-1 request-refused")
            history.decidingEvent?.fields?.get("to") shouldBe "u7"
        }

        test("only state changes of the VMs involved, from 3 s before the first event on, are included") {
            RequestHistory.of(ID, LOG.asSequence()).stateChanges.map { "${it.vm} ${it.name}" } shouldBe
                listOf("vm-2 owners-changed")
        }

        test("the refusal is decisive where no upstream was tried") {
            val log = listOf(line(5, "vm-1", "request-refused", "request" to ID, "detail" to "the rate is used up"))
            val (code, text) = explain(ID, log)
            code shouldBe ExitCode.Ok
            text shouldContain "decided by vm-1: the rate is used up"
        }

        test("text before the JSON object of a line, as log collectors add it, is skipped") {
            val (code, _) = explain(ID, LOG.map { "  12.0 vm $it" })
            code shouldBe ExitCode.Ok
        }

        test("a request that no line names is reported and fails the command") {
            val (code, text) = explain("unheard", LOG)
            code shouldBe ExitCode.Failed
            text shouldContain "no line names request 'unheard'"
        }
    })
