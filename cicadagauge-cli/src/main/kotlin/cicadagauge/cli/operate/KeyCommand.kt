package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import cicadagauge.identity.CustomerName
import cicadagauge.identity.KeyHash
import org.kohsuke.args4j.Argument
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/**
 * `key issue CUSTOMER` adds a random key and prints it; `key withdraw CUSTOMER HASH` removes one. The store holds only
 * SHA-256 hashes, so a key can't be shown again.
 */
class KeyCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "issue|withdraw", usage = "what to do", required = true)
    var action: String = ""

    @Argument(index = 1, metaVar = "CUSTOMER", usage = "the customer", required = true)
    var customer: String = ""

    @Argument(index = 2, metaVar = "HASH", usage = "for withdraw: the key's hash or a unique prefix of it")
    var hash: String? = null

    override fun run(console: Console): ExitCode = when (action) {
        "issue" -> issue(console)
        "withdraw" -> withdraw(console)
        else -> {
            console.printError("'$action' is not allowed; allowed: issue, withdraw")
            ExitCode.Usage
        }
    }

    private fun issue(console: Console): ExitCode {
        val key = HexFormat.of().formatHex(ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) })
        val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        val newHash = KeyHash(HexFormat.of().formatHex(digest))
        return editCustomer(console, { true }, { it.copy(keyHashes = it.keyHashes + newHash) }) {
            console.println(if (json) toJson(IssuedLine(key, newHash.value)) else "key: $key\nhash: $newHash")
        }
    }

    private fun withdraw(console: Console): ExitCode {
        val prefix = hash
        if (prefix.isNullOrEmpty()) {
            console.printError("withdraw needs the key's HASH")
            return ExitCode.Usage
        }
        val isSingleMatch = { candidate: Customer -> candidate.keyHashes.count { it.value.startsWith(prefix) } == 1 }
        val remove = { candidate: Customer ->
            candidate.copy(keyHashes = candidate.keyHashes.filterNot { it.value.startsWith(prefix) }.toSet())
        }
        return editCustomer(console, isSingleMatch, remove) {}
    }

    private fun editCustomer(
        console: Console,
        isAllowed: (Customer) -> Boolean,
        edit: (Customer) -> Customer,
        onAccepted: () -> Unit,
    ): ExitCode = withStore(console) { applier ->
        applier.current().fold({ report(it, console) }) { accepted ->
            val declared = accepted.declaration.customers.firstOrNull { it.name == CustomerName(customer) }
            if (declared == null || !isAllowed(declared)) {
                console.printError(
                    if (declared ==
                        null
                    ) {
                        "customer '$customer' is not declared"
                    } else {
                        "this hash does not match exactly one key of '$customer'"
                    },
                )
                return@fold ExitCode.Usage
            }
            val code = report(applier.edit(operationId()) { replaceCustomer(it, edit) }, console)
            if (code == ExitCode.Ok) onAccepted()
            code
        }
    }

    private fun replaceCustomer(declaration: Declaration, edit: (Customer) -> Customer): Declaration = declaration.copy(
        customers = declaration.customers.map {
            if (it.name ==
                CustomerName(customer)
            ) {
                edit(it)
            } else {
                it
            }
        },
    )

    private data class IssuedLine(val key: String, val hash: String)

    private companion object {
        const val KEY_BYTES = 24
    }
}
