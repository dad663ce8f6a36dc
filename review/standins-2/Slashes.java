import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd without keys sends requests of legal size to paths without a route, which have very many short segments. */
final class Slashes extends Setup {
    private static final String HOST = "desk.example";
    private static final double TIMEOUT_S = 1.0;
    private static final int CROWD = 200;
    private static final int PAUSE_MS = 1000;
    private static final int PATH_BYTES = 8000;
    private final Fleet fleet;
    private volatile boolean isCrowded;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    private Slashes(String[] arguments) throws IOException {
        super(arguments);
        fleet = new Fleet(root, work, store, log, "zone-a", "zone-b", "zone-c");
    }

    public static void main(String[] arguments) throws Exception {
        Slashes slashes = new Slashes(arguments);
        run(slashes, slashes.fleet);
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, route("view", "safe", "/view/", "rota-view", TIMEOUT_S), cluster("rota-view", false)));
        int number = 0;
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 2; i++) {
                number++;
                new Instance(store, log, "i-" + number, "rota-view", vm.zone, "127.0.2." + number, false, 3, 40);
            }
        }
        fleet.start();
        if (!fleet.awaitReady(40)) return COULD_NOT_RUN;
        Thread.sleep(2000);
        Fleet.Vm vm = fleet.vms.get(0);
        Ordinary callers = new Ordinary(log, vm.ip, fleet.frontPort, TIMEOUT_S);
        if (callers.send("calm", 30).served < 25) return COULD_NOT_RUN;
        Client.Answer alone = Client.send(vm.ip, fleet.frontPort, text(), 3000);
        log.plain("one request of the crowd, alone: " + alone);
        isCrowded = true;
        for (int i = 0; i < CROWD; i++) Store.daemon(() -> press(vm));
        Thread.sleep(2000);
        Ordinary.Counts counts = callers.send("crowded", 60);
        isCrowded = false;
        log.plain("the crowd sent " + sent + " requests of " + text().length() + " bytes and got " + answered + " answers");
        log.plain("vm-1 " + (vm.process.isAlive() ? "runs" : "has ended") + " and is " + (fleet.isReady(vm) ? "" : "not ") + "ready");
        Thread.sleep(5000);
        callers.send("afterwards", 30);
        return counts.breaksRule() ? BROKEN : HELD;
    }

    private String text() {
        String path = hasTrouble ? "/".repeat(PATH_BYTES) : "/" + "a".repeat(PATH_BYTES - 1);
        return Client.head("GET", HOST, path, "crowd", null, 1000, "");
    }

    /** Sends a request, waits for the answer and then for [PAUSE_MS], and so on. */
    private void press(Fleet.Vm vm) {
        byte[] bytes = text().getBytes(StandardCharsets.ISO_8859_1);
        while (isCrowded) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(vm.ip, fleet.frontPort), 1000);
                socket.setSoTimeout(3000);
                OutputStream out = socket.getOutputStream();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (isCrowded) {
                    out.write(bytes);
                    sent.incrementAndGet();
                    Http answer = Http.read(in);
                    if (answer == null) break;
                    answer.readBody(in, true);
                    answered.incrementAndGet();
                    Thread.sleep(PAUSE_MS);
                }
            } catch (IOException | InterruptedException e) {
                // The client leaves and comes again.
            }
        }
    }
}
