package cicadagauge.admission

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.identity.CustomerName
import cicadagauge.identity.KeyHash
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.security.MessageDigest
import java.util.HexFormat

class AuthenticatorTest :
    FunSpec({
        fun hash(key: String) =
            KeyHash(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray())))

        fun authenticator(vararg keys: String) = Authenticator(
            Declaration(
                zones = emptySet(),
                pools = emptyList(),
                routes = emptyList(),
                customers = keys.map { Customer(CustomerName("of-$it"), 1.0, 1, setOf(hash(it))) },
            ),
        )

        test("a key belongs to the customer that holds its hash, and to no other") {
            val authenticator = authenticator("a", "b")
            authenticator.customerOf("a")?.name shouldBe CustomerName("of-a")
            authenticator.customerOf("b")?.name shouldBe CustomerName("of-b")
            for (wrong in listOf("", "c", "A", hash("a").value)) authenticator.customerOf(wrong) shouldBe null
        }

        test("a key that was withdrawn is not accepted under the next declaration") {
            authenticator("b").customerOf("a") shouldBe null
        }
    })
