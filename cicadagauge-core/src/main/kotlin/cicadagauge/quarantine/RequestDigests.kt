package cicadagauge.quarantine

import cicadagauge.identity.HeadDigest
import cicadagauge.node.RequestHead
import com.dynatrace.hash4j.hashing.Hashing

/** Computes digests of requests. They are equal on all VMs. */
public object RequestDigests {
    /** The digest of [head]: its method, path and query. */
    public fun of(head: RequestHead): HeadDigest {
        val content = "${head.method} ${head.path}?${head.query.orEmpty()}"
        return HeadDigest(Hashing.xxh3_64().hashCharsToLong(content))
    }
}
