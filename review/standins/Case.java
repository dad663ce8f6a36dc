package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, the operator's configuration and entry VMs that are started with
 * the command of the deploy file. Writes what happens to the record.
 */
final class Case {
    interface Task {
        void run() throws Exception;
    }

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long GARBLE_MILLIS = 5000;
    private static final long GARBLE_PAUSE_MILLIS = 1000;

    /** VMs have the addresses 127.0.0.11, 127.0.0.12 and so on. */
    private static final int FIRST_VM = 11;
    private static final int VMS = 3;

    final Store store = new Store();
    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    final List<Process> processes = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Path folder = Files.createTempDirectory("review");
    private int configVersion = 3;
    private final int frontPort = freePorts();
    private final int readyPort = frontPort + 1;
    private final int peerPort = frontPort + 2;

    Case(String recordFile) throws Exception {
        record = new PrintWriter(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /** Whether instances spoil answers at present: for [GARBLE_MILLIS] at a time, from the start of [garble] on. */
    volatile boolean isGarbling;

    /** Lets instances spoil answers in episodes with short pauses, if this run has the disruption. */
    void garble() {
        if (!isTroubled) return;
        thread("garble", () -> {
            while (true) {
                isGarbling = true;
                log("instances begin to spoil answers");
                Thread.sleep(GARBLE_MILLIS);
                isGarbling = false;
                log("instances no longer spoil answers");
                Thread.sleep(GARBLE_PAUSE_MILLIS);
            }
        });
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A connection that breaks ends its thread.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Seconds since the start of the case. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void log(String text) {
        synchronized (record) {
            record.printf("%9.4f %s%n", seconds(), text);
            record.flush();
        }
    }

    /** The first of four ports that are free at the addresses of all VMs, below those that connections get. */
    private static int freePorts() {
        Random random = new Random();
        while (true) {
            int first = 20_000 + random.nextInt(2_900) * 4;
            boolean isFree = true;
            for (int i = 0; i < 4 * VMS; i++) isFree &= isFree("127.0.0." + (FIRST_VM + i % VMS), first + i / VMS);
            if (isFree) return first;
        }
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** Writes a configuration with [services] and [routes] to the store, as the operator does. */
    void configure(List<ObjectNode> services, List<ObjectNode> routes) throws Exception {
        configVersion += 2;
        ObjectNode config = Store.JSON.createObjectNode().put("version", "r" + configVersion);
        config.putObject("limits").put("maxHeaderBytes", 16384).put("maxBodyBytes", 67108864)
            .put("headerTimeoutS", 3).put("idleTimeoutS", 15);
        ArrayNode listeners = config.putArray("listeners");
        for (ObjectNode route : routes) {
            ObjectNode listener = listeners.addObject().put("host", route.remove("host").asText());
            listener.putArray("policy").add(route);
        }
        ArrayNode clusters = config.putArray("clusters");
        services.forEach(clusters::add);
        store.put("op/config", Store.JSON.writeValueAsString(config));
        log("the operator wrote configuration r" + configVersion);
    }

    static ObjectNode service(String name, boolean isSharded) {
        ObjectNode service = Store.JSON.createObjectNode().put("name", name).put("healthPath", "/health");
        service.put("maxConns", 110).put("protocol", "h1").put("tls", false).put("coldStartS", 3.0).put("coldPerS", 11.0);
        if (isSharded) service.put("sharded", true).put("warmupS", 2.0).put("grants", "duty_call");
        return service;
    }

    static ObjectNode route(String host, String kind, String service, double timeout) {
        ObjectNode route = Store.JSON.createObjectNode().put("host", host).put("name", "r-" + host).put("kind", kind);
        route.put("targetLatencyS", 0.25).put("priority", 1).put("public", true);
        route.putObject("match").put("pathPrefix", "/" + host + "/");
        route.putObject("action").put("service", service).put("timeoutS", timeout).put("maxAttempts", 2);
        return route;
    }

    /** Starts an entry VM at the address 127.0.0.[number] and returns its address for clients. */
    String startVm(int number, String zone) throws Exception {
        String ip = "127.0.0." + number;
        ObjectNode settings = Store.JSON.createObjectNode();
        settings.putObject("self").put("node", "front-" + zone + "-" + number).put("role", "entry")
            .put("machineClass", "front").put("ip", ip).put("zone", zone).put("region", "hokkaido").put("bootstrap", true);
        ObjectNode network = settings.putObject("network");
        network.putObject("listen").put("front", ip + ":" + frontPort).put("ready", ip + ":" + readyPort);
        network.putArray("internalPorts").add(peerPort).add(peerPort + 1);
        ObjectNode provider = settings.putObject("provider");
        provider.put("discovery", "platform").put("heartbeatS", 0.87);
        provider.putObject("provider").put("address", store.address()).put("form", "kv").put("ttlMinS", 1);
        settings.putObject("terms").putObject("bounds").put("retryBudgetRatio", 0.2).put("retryBudgetSlack", 58);
        Path file = folder.resolve("vm-" + number + ".json");
        Files.writeString(file, Store.JSON.writeValueAsString(settings));
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CICADAGAUGE_CONFIG", file.toString());
        File output = folder.resolve("vm-" + number + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        Process process = builder.start();
        processes.add(process);
        log("started entry VM " + number + " in " + zone + ", process " + process.pid());
        return ip + ":" + frontPort;
    }

    private static List<String> command() throws Exception {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IllegalStateException("no command in deploy/system.toml");
        return List.of(matcher.group(1).split(" "));
    }

    /** Waits until the entry VM 127.0.0.[number] says that it is ready; false if it doesn't within 20 s. */
    boolean awaitReady(int number) throws Exception {
        double end = seconds() + 20;
        while (seconds() < end) {
            try (Socket socket = new Socket("127.0.0." + number, readyPort)) {
                socket.setSoTimeout(1000);
                Wire.write(socket.getOutputStream(), "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
                if (Wire.readHead(socket.getInputStream()).status() == 200) {
                    log("entry VM " + number + " is ready");
                    return true;
                }
            } catch (java.io.IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        log("entry VM " + number + " did not become ready");
        return false;
    }

    /** Asks [process] to stop, with SIGTERM. */
    void terminate(Process process) {
        process.destroy();
        log("sent SIGTERM to process " + process.pid());
    }

    /** Ends all processes, deletes the temporary files (unless KEEP is set) and exits. */
    void end(int result, String verdict) throws Exception {
        log(verdict);
        System.out.println(verdict);
        for (Process process : processes) process.destroyForcibly().waitFor();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
        } else {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) Files.delete(file);
            }
            Files.delete(folder);
        }
        Runtime.getRuntime().halt(result);
    }

    /** Runs [task]; a case that fails for another reason than a broken rule could not run. */
    static void main(String recordFile, CaseTask task) throws Exception {
        Case the;
        try {
            the = new Case(recordFile);
        } catch (Exception e) {
            e.printStackTrace();
            Runtime.getRuntime().halt(NOT_RUN);
            return;
        }
        the.log(the.isTroubled ? "with the disruption" : "without the disruption");
        Case started = the;
        thread("limit", () -> {
            Thread.sleep(115_000);
            started.end(NOT_RUN, "NOT RUN: the case took too long");
        });
        try {
            task.run(the);
        } catch (Throwable e) {
            e.printStackTrace();
            the.end(NOT_RUN, "NOT RUN: " + e);
        }
    }

    interface CaseTask {
        void run(Case the) throws Exception;
    }
}
