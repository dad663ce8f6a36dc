package cicadagauge.gateway

import java.security.MessageDigest

/** The secret by which the VMs of a deployment know each other. */
internal class DeploymentSecret(private val value: String) {
    /** Whether [given] is the secret; takes the same time wherever they differ. */
    fun matches(given: String?): Boolean =
        given != null && MessageDigest.isEqual(given.toByteArray(), value.toByteArray())
}
