package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.cli.Settings
import cicadagauge.gateway.control.ControlPaths
import cicadagauge.gateway.control.JsonHttpClient
import cicadagauge.identity.Address
import cicadagauge.node.NodeStatus
import cicadagauge.store.Json
import com.fasterxml.jackson.core.JacksonException
import org.kohsuke.args4j.Option
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** `status`: prints the status of each VM, marks those with an outdated declaration, and lists the pools' owners. */
class StatusCommand : OperatorCommand() {
    @Option(name = "--vms", usage = "control addresses of the VMs to ask, separated by commas")
    var vms: String? = null

    @Option(name = "--secret", usage = "the deployment's secret")
    var secret: String? = null

    private val client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()

    override fun run(console: Console): ExitCode {
        val settings = Settings()
        val list = settings.text("--vms", vms)
        val deploymentSecret = settings.text("--secret", secret)
        val addresses = list.split(',').map { settings.address("--vms", it.trim()) }
        if (settings.problems.isNotEmpty()) return printProblems(settings, console)
        val answers = addresses.map { Answer(it, fetchStatus(it, deploymentSecret)) }
        if (json) console.println(toJson(answers)) else printStatus(answers, console)
        return if (answers.all { it.status != null }) ExitCode.Ok else ExitCode.Unavailable
    }

    private fun fetchStatus(address: Address, deploymentSecret: String): NodeStatus? {
        val builder = HttpRequest.newBuilder(URI("http://$address${ControlPaths.STATUS}")).timeout(TIMEOUT)
        JsonHttpClient.authFields(deploymentSecret, "operator").forEach { (name, value) -> builder.header(name, value) }
        return try {
            val answer = client.send(builder.GET().build(), HttpResponse.BodyHandlers.ofByteArray())
            if (answer.statusCode() == HTTP_OK) Json.mapper.readValue(answer.body(), NodeStatus::class.java) else null
        } catch (_: JacksonException) {
            null
        } catch (_: IOException) {
            null
        }
    }

    private fun printStatus(answers: List<Answer>, console: Console) {
        val reported = answers.mapNotNull { it.status }
        val newest = reported.maxOfOrNull { it.declaration }
        for (answer in answers) {
            val status = answer.status
            if (status == null) {
                console.println("${answer.address}  no answer")
                continue
            }
            val lag = if (status.declaration == newest) "" else "  LAGS"
            val reading = if (status.readsStore) "  reads the store" else ""
            val store = if (status.storeReachable) reading else "$reading  store unreachable"
            val state = if (status.ready) "ready" else "not ready"
            val duties = status.duties.joinToString().ifEmpty { "-" }
            console.println("${status.vm}  $state  declaration ${status.declaration}$lag$store  duties: $duties")
        }
        val pools = reported.flatMap { it.pools }.groupBy { it.pool }.values.map { all -> all.maxBy { it.version } }
        for (pool in pools) {
            console.println(
                "pool ${pool.pool}: version ${pool.version}, term ${pool.term}, allocator ${pool.allocator}",
            )
            pool.members.forEach { console.println("  ${it.upstream}  ${it.slots} slots, share ${it.share} %") }
        }
    }

    private data class Answer(val address: Address, val status: NodeStatus?)

    private companion object {
        const val HTTP_OK = 200
        val TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
