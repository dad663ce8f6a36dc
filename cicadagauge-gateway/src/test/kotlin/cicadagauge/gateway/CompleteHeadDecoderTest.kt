package cicadagauge.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequest

/** The targets of the requests that are decoded from [text], read [pieceLength] characters at a time. */
private fun targets(text: String, pieceLength: Int): List<String> {
    val channel = EmbeddedChannel(decoder())
    text.chunked(pieceLength).forEach {
        channel.writeInbound(channel.alloc().buffer().writeBytes(it.toByteArray(Charsets.ISO_8859_1)))
    }
    val targets = channel.inboundMessages().filterIsInstance<HttpRequest>().map { it.uri() }
    channel.finishAndReleaseAll()
    return targets
}

private fun decoder() = CompleteHeadDecoder(maxHeadBytes = 1_000, HttpDecoderConfig())

class CompleteHeadDecoderTest :
    FunSpec({
        test("requests are decoded whatever the pieces are in which they arrive") {
            val text = "\r\nGET /a HTTP/1.1\r\nhost: h\r\n\r\n" +
                "POST /b HTTP/1.1\r\ncontent-length: 4\r\n\r\n\r\n\r\n" +
                "POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b\r\n\r\n" +
                "\r\n\r\nGET /d HTTP/1.1\r\nhost: h\r\n\r\n"
            for (pieceLength in listOf(1, 2, 3, 7, 1_000)) {
                withClue(pieceLength) {
                    targets(text, pieceLength) shouldContainExactly listOf("/a", "/b", "/c", "/d")
                }
            }
        }

        test("a head that stops short takes its bytes and no more, also behind empty lines") {
            val decoder = decoder()
            val head = "GET /a HTTP/1.1\r\n" + "a:b\r\n".repeat(100)
            val channel = EmbeddedChannel(decoder)
            "\r\n\r\n$head".chunked(50).forEach {
                channel.writeInbound(channel.alloc().buffer().writeBytes(it.toByteArray(Charsets.ISO_8859_1)))
            }
            channel.inboundMessages().size shouldBe 0
            decoder.heldBytes shouldBe head.length.toLong()
            channel.finishAndReleaseAll()
        }
    })
