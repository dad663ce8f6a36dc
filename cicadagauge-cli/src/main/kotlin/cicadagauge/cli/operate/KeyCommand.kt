package cicadagauge.cli.operate

import cicadagauge.cli.Console
import cicadagauge.cli.ExitCode
import cicadagauge.declaration.Declaration
import cicadagauge.declaration.Tenant
import cicadagauge.identity.KeyHash
import cicadagauge.identity.TenantName
import org.kohsuke.args4j.Argument
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/** `key issue TENANT` prints a new key once; `key withdraw TENANT HASH` ends one. Only hashes are stored. */
class KeyCommand : OperatorCommand() {
    @Argument(index = 0, metaVar = "issue|withdraw", usage = "what to do", required = true)
    var action: String = ""

    @Argument(index = 1, metaVar = "TENANT", usage = "the tenant", required = true)
    var tenant: String = ""

    @Argument(index = 2, metaVar = "HASH", usage = "for withdraw: the key's hash, or as much of it as is unique")
    var hash: String? = null

    override fun run(console: Console): ExitCode = when (action) {
        "issue" -> issue(console)
        "withdraw" -> withdraw(console)
        else -> {
            console.complain("'$action' is not allowed; allowed: issue, withdraw")
            ExitCode.Usage
        }
    }

    private fun issue(console: Console): ExitCode {
        val key = HexFormat.of().formatHex(ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) })
        val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        val added = KeyHash(HexFormat.of().formatHex(digest))
        return editTenant(console, { true }, { it.copy(keyHashes = it.keyHashes + added) }) {
            console.say(if (json) toJson(IssuedLine(key, added.value)) else "key: $key\nhash: $added")
        }
    }

    private fun withdraw(console: Console): ExitCode {
        val prefix = hash
        if (prefix.isNullOrEmpty()) {
            console.complain("withdraw needs the key's HASH")
            return ExitCode.Usage
        }
        val matches = { one: Tenant -> one.keyHashes.count { it.value.startsWith(prefix) } == 1 }
        val remove = { one: Tenant ->
            one.copy(keyHashes = one.keyHashes.filterNot { it.value.startsWith(prefix) }.toSet())
        }
        return editTenant(console, matches, remove) {}
    }

    private fun editTenant(
        console: Console,
        allowed: (Tenant) -> Boolean,
        edit: (Tenant) -> Tenant,
        done: () -> Unit,
    ): ExitCode = withStore(console) { applier ->
        applier.current().fold({ report(it, console) }) { accepted ->
            val found = accepted.declaration.tenants.firstOrNull { it.name == TenantName(tenant) }
            if (found == null || !allowed(found)) {
                console.complain(
                    if (found ==
                        null
                    ) {
                        "tenant '$tenant' is not declared"
                    } else {
                        "no single key of '$tenant' has this hash"
                    },
                )
                return@fold ExitCode.Usage
            }
            val code = report(applier.edit(operationId()) { replace(it, edit) }, console)
            if (code == ExitCode.Ok) done()
            code
        }
    }

    private fun replace(declaration: Declaration, edit: (Tenant) -> Tenant): Declaration =
        declaration.copy(tenants = declaration.tenants.map { if (it.name == TenantName(tenant)) edit(it) else it })

    private data class IssuedLine(val key: String, val hash: String)

    private companion object {
        const val KEY_BYTES = 24
    }
}
