/*
 * Settings of a process. Each is given as a flag or an environment variable; the flag takes precedence. All are checked
 * before anything starts, so that one run reports every problem.
 */
package cicadagauge.cli

import cicadagauge.identity.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads settings from flags and the [environment] and collects [problems]. The value returned for a setting
 * with a problem is unusable, so callers check [problems] before they use any of the values.
 */
class Settings(private val environment: (String) -> String? = System::getenv) {
    private val problemList = ArrayList<String>()

    /** A message for each missing or invalid setting, in the order in which they were read. */
    val problems: List<String> get() = problemList

    /** Text setting [flag]: the [given] value, else the value in the environment, else [default]. */
    fun text(flag: String, given: String?, default: String? = null): String =
        given ?: environment(variableName(flag)) ?: default ?: addMissing(flag, "any text").let { "" }

    /** Address setting [flag], written as host:port. */
    fun address(flag: String, given: String?, default: String? = null): Address {
        val allowed = "host:port with a port from 0 to 65535"
        val value =
            given
                ?: environment(variableName(flag))
                ?: default
                ?: return addMissing(flag, allowed).let { Address("", 0) }
        return Address.parse(value, PORTS) ?: reject(flag, value, allowed).let { Address("", 0) }
    }

    /** Integer setting [flag], which must be within [range]. */
    fun int(flag: String, given: String?, range: IntRange, default: Int): Int {
        val value = given ?: environment(variableName(flag)) ?: return default
        val number = value.toIntOrNull()
        if (number == null ||
            number !in range
        ) {
            reject(flag, value, "a whole number from ${range.first} to ${range.last}")
        }
        return number ?: default
    }

    /** Duration setting [flag], an integer number of milliseconds within [range]. */
    fun millis(flag: String, given: String?, range: IntRange, default: Int): Duration =
        int(flag, given, range, default).milliseconds

    /** Adds the problem that [value] is invalid for setting [flag]; [allowed] describes the valid values. */
    fun reject(flag: String, value: String, allowed: String) {
        problemList += "$flag (${variableName(flag)}): '$value' is not allowed; allowed: $allowed"
    }

    private fun addMissing(flag: String, allowed: String) {
        problemList += "$flag (${variableName(flag)}): missing; allowed: $allowed"
    }

    companion object {
        private val PORTS = 0..65_535

        /** The name of the environment variable for [flag]: `CICADAGAUGE_VM_LIST` for `--vm-list`. */
        fun variableName(flag: String): String = "CICADAGAUGE_" + flag.removePrefix("--").uppercase().replace('-', '_')
    }
}
