import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What all cases have in common: the folder, the record, the store and the outcome. */
abstract class Setup {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    final Path root;
    final Path work;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Log log;
    final Store store;

    Setup(String[] arguments) throws IOException {
        root = Path.of(arguments[0]).toAbsolutePath();
        work = Files.createTempDirectory("case");
        log = new Log(Path.of(arguments[1], "record.txt"));
        store = new Store("127.0.0.1", log);
        log.plain("TROUBLE=" + (hasTrouble ? "1" : "0"));
    }

    /** Plays the case and returns its outcome. */
    abstract int play() throws Exception;

    /** Plays the case, removes the temporary folder and ends this process, and with it the VMs. */
    static void run(Setup setup, Fleet fleet) {
        int outcome = COULD_NOT_RUN;
        try {
            outcome = setup.play();
        } catch (Exception e) {
            setup.log.plain("could not run: " + e);
        }
        fleet.kill();
        if (System.getenv("KEEP") == null) setup.clean();
        setup.log.plain("outcome " + outcome);
        System.exit(outcome);
    }

    private void clean() {
        try (var files = Files.walk(work)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            log.line("could not remove %s", work);
        }
    }

    /** A route of a configuration. */
    static String route(String name, String kind, String prefix, String service, double timeoutS) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"targetLatencyS\":0.2,\"priority\":1,\"public\":false,"
            + "\"match\":{\"pathPrefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service + "\",\"timeoutS\":" + timeoutS
            + ",\"maxAttempts\":2}}";
    }

    /** A service of a configuration. */
    static String cluster(String name, boolean isSharded) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":48,\"protocol\":\"h1\",\"tls\":false,"
            + "\"coldStartS\":3.0,\"coldPerS\":16.0" + (isSharded ? ",\"sharded\":true,\"warmupS\":2.0,\"grants\":\"duty_call\"" : "") + "}";
    }

    /** A configuration with two tenants, whose keys are `key-of-ann` and `key-of-bob`. */
    static String config(int version, String routes, String clusters) {
        return "{\"version\":\"r" + version + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":[{\"name\":\"ann\",\"apiKeys\":[\"key-of-ann\"],"
            + "\"priority\":1,\"ratePerS\":200,\"burst\":200},{\"name\":\"bob\",\"apiKeys\":[\"key-of-bob\"],\"priority\":1,"
            + "\"ratePerS\":200,\"burst\":200}],\"listeners\":[{\"host\":\"desk.example\",\"policy\":[" + routes
            + "]}],\"clusters\":[" + clusters + "]}";
    }
}
