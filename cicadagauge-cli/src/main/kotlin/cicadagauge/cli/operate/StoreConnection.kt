package cicadagauge.cli.operate

import cicadagauge.declaration.StorePort
import cicadagauge.gateway.environment.PlatformPaths
import cicadagauge.identity.Address
import cicadagauge.store.Json
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreReply
import com.fasterxml.jackson.core.JacksonException
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Blocking HTTP client of the platform store at [address]. A call that fails gives [StoreReply.Unavailable]. */
class StoreConnection(private val address: Address, private val timeout: Duration = Duration.ofSeconds(2)) : StorePort {
    private val client = HttpClient.newBuilder().connectTimeout(timeout).build()

    override fun call(call: StoreCall): StoreReply {
        val body = Json.mapper.writerFor(StoreCall::class.java).writeValueAsBytes(call)
        val request = HttpRequest.newBuilder(URI("http://$address${PlatformPaths.STORE}"))
            .timeout(timeout).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build()
        return try {
            val answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray())
            Json.mapper.readValue(answer.body(), StoreReply::class.java)
        } catch (_: JacksonException) {
            StoreReply.Unavailable
        } catch (_: IOException) {
            StoreReply.Unavailable
        }
    }
}
