package cicadagauge.gateway

import java.security.MessageDigest

/** The shared secret with which the VMs of a deployment authenticate each other. */
internal class DeploymentSecret(private val value: String) {
    /** Whether [given] is the secret. The comparison takes the same time wherever the two differ. */
    fun matches(given: String?): Boolean =
        given != null && MessageDigest.isEqual(given.toByteArray(), value.toByteArray())
}
