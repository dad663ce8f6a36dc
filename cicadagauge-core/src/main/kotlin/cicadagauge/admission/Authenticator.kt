/*
 * Authenticates customers by API key. Only hashes of keys are stored. The lookup table is indexed by the hash of the
 * presented key, which a caller can't steer towards a stored one, and the final comparison takes constant time.
 */
package cicadagauge.admission

import cicadagauge.declaration.Customer
import cicadagauge.declaration.Declaration
import java.security.MessageDigest
import java.util.HexFormat

/** Looks customers up by the API keys of one declaration. */
public class Authenticator(declaration: Declaration) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val entries = HashMap<Long, List<Entry>>()

    init {
        val all = declaration.customers.flatMap { customer ->
            customer.keyHashes.map { Entry(HexFormat.of().parseHex(it.value), customer) }
        }
        entries.putAll(all.groupBy { prefix(it.hash) })
    }

    /** The customer that [key] belongs to, or null if the key is unknown. */
    public fun customerOf(key: String): Customer? {
        val hash = digest.digest(key.toByteArray(Charsets.UTF_8))
        return entries[prefix(hash)]?.firstOrNull { MessageDigest.isEqual(it.hash, hash) }?.customer
    }

    private class Entry(val hash: ByteArray, val customer: Customer)

    private companion object {
        const val BYTE_MASK = 0xffL
        const val BITS_PER_BYTE = 8

        fun prefix(hash: ByteArray): Long = (0 until Long.SIZE_BYTES).fold(0L) { sum, index ->
            (sum shl BITS_PER_BYTE) or
                (hash[index].toLong() and BYTE_MASK)
        }
    }
}
