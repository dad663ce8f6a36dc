package cicadagauge.cli.hostile

import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.OperationId
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.standins.store.StoreStandin
import cicadagauge.standins.vms.VmListStandin
import cicadagauge.store.JsonDeclarationCodec
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreRevision
import cicadagauge.store.StoredDeclaration
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * One entry VM as a process of its own, with [declaration] in force. Its heap is as large as that of the deployed
 * program, and it may have [maxDescriptors] file descriptors. The store and the VM list run in the test's process.
 */
internal class DaemonProcess(declaration: String, maxDescriptors: Int) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val output = Files.createTempFile("daemon", ".log")
    private val process: Process

    /** The port for callers. */
    val callers: Int = ServerSocket(0).use { it.localPort }

    /** The port for peers, metrics and readiness. */
    val control: Int = ServerSocket(0).use { it.localPort }

    init {
        val store = StoreStandin(group, Address(HOST, 0)).start()
        val vm = Vm(VmId("vm-1"), Address(HOST, control), Address(HOST, callers), AvailabilityZone("a"))
        val vmList = VmListStandin(group, Address(HOST, 0), Duration.ZERO, listOf(vm)).start()
        val stored = StoredDeclaration(DeclarationVersion(1), OperationId("test"), declaration)
        store.write(StoreCall.Put(StoreKeys.DECLARATION, JsonDeclarationCodec().wrap(stored), StoreRevision.ABSENT))
        val arguments = listOf(
            "gateway --vm vm-1 --zone a --secret $SECRET --callers ${vm.callers} --control ${vm.address}",
            "--store $HOST:${store.port} --vm-list $HOST:${vmList.port}",
        ).joinToString(" ")
        val java = Path.of(System.getProperty("java.home"), "bin", "java")
        val command = "ulimit -n $maxDescriptors; exec $java $JVM_OPTIONS cicadagauge.cli.MainKt $arguments"
        process = ProcessBuilder("sh", "-c", command)
            .apply { environment()["CLASSPATH"] = classPath() }
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start()
        Runtime.getRuntime().addShutdownHook(Thread(process::destroyForcibly))
        var attempts = 0
        while (statusOf(control, READINESS) != OK) {
            check(process.isAlive && attempts++ < START_ATTEMPTS) { "the process did not start: ${outputTail()}" }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun classPath() = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

    /** Whether the process runs. */
    val isAlive: Boolean get() = process.isAlive

    /** The largest resident memory so far, in megabytes. */
    fun peakMemoryMb(): Long {
        val line = Files.readAllLines(Path.of("/proc/${process.pid()}/status")).first { it.startsWith("VmHWM:") }
        return line.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
    }

    /** The number of open file descriptors. */
    fun descriptors(): Int = Path.of("/proc/${process.pid()}/fd").toFile().list().orEmpty().size

    /** The last lines of the process's output. */
    fun outputTail(): String = Files.readAllLines(output).takeLast(OUTPUT_LINES).joinToString("\n")

    /**
     * The status of the answer to [request] on [port], sent again over a new connection until there is one of
     * [expected], the process has ended or [PATIENCE_ATTEMPTS] are over: then that of the last attempt, or null if
     * that had no answer.
     */
    fun statusOf(port: Int, request: ByteArray, expected: Int = OK): Int? {
        var status: Int? = null
        var attempts = 0
        while (status != expected && isAlive && attempts++ < PATIENCE_ATTEMPTS) {
            if (attempts > 1) Thread.sleep(RETRY_MILLIS)
            status = attempt(port, request)
        }
        return status
    }

    private fun statusOf(port: Int, path: String) = attempt(port, "GET $path HTTP/1.1\r\nhost: h\r\n\r\n".toByteArray())

    private fun attempt(port: Int, request: ByteArray): Int? = try {
        Socket(HOST, port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(request)
            val statusLine = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1).readLine()
            statusLine?.split(' ')?.get(1)?.toIntOrNull()
        }
    } catch (_: IOException) {
        null
    }

    override fun close() {
        process.destroyForcibly().waitFor(1, TimeUnit.MINUTES)
        Files.delete(output)
        group.shutdownGracefully()
    }

    companion object {
        private const val HOST = "127.0.0.1"
        private const val SECRET = "secret"
        private const val READINESS = "/readyz"
        private const val OK = 200
        private const val KILOBYTES_PER_MEGABYTE = 1_024
        private const val OUTPUT_LINES = 5
        private const val RETRY_MILLIS = 100L

        /** The memory of the deployed program, as in deploy/system.toml; a process without heap ends at once. */
        private const val JVM_OPTIONS = "-Xms12m -Xmx32m -Xmn8m -Xss256k -XX:+UseSerialGC " +
            "-XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:+ExitOnOutOfMemoryError"

        /** Only so that a process that hangs ends the test. */
        private const val START_ATTEMPTS = 600
        private const val PATIENCE_ATTEMPTS = 6
        private const val READ_TIMEOUT_MILLIS = 5_000
    }
}
