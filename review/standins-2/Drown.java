import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The instances of one service are in trouble and send short chunks without end; callers of another service suffer. */
final class Drown extends Setup {
    private static final String HOST = "desk.example";
    private static final double TIMEOUT_S = 1.0;
    private final Fleet fleet;
    private static final int SOUND_PER_ZONE = 2;
    private static final int SICK_PER_ZONE = 4;
    private static final int WATCHERS = 24;
    private static final int DEADLINE_MS = 1000;
    private static final int CHUNKS_PER_WRITE = 5000;
    private volatile boolean isInTrouble;
    private volatile boolean isOver;

    private Drown(String[] arguments) throws IOException {
        super(arguments);
        fleet = new Fleet(root, work, store, log, "zone-a", "zone-b", "zone-c");
    }

    public static void main(String[] arguments) throws Exception {
        Drown drown = new Drown(arguments);
        run(drown, drown.fleet);
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, route("view", "safe", "/view/", "rota-view", TIMEOUT_S) + "," + route("watch", "safe", "/watch/", "floor-watch", TIMEOUT_S),
            cluster("rota-view", false) + "," + cluster("floor-watch", false)));
        int number = 0;
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < SOUND_PER_ZONE; i++) {
                number++;
                new Instance(store, log, "v-" + number, "rota-view", vm.zone, "127.0.2." + number, false, 3, 40);
            }
            for (int i = 0; i < SICK_PER_ZONE; i++) {
                number++;
                new Instance(store, log, "w-" + number, "floor-watch", vm.zone, "127.0.3." + number, false, 3, 40) {
                    @Override
                    protected void answer(Http request, OutputStream out, Socket socket) throws IOException, InterruptedException {
                        if (!isInTrouble) super.answer(request, out, socket); else sendWithoutEnd(request, out);
                    }
                };
            }
        }
        fleet.start();
        if (!fleet.awaitReady(40)) return COULD_NOT_RUN;
        Thread.sleep(2000);
        Fleet.Vm vm = fleet.vms.get(0);
        Ordinary callers = new Ordinary(log, vm.ip, fleet.frontPort, TIMEOUT_S);
        if (callers.send("calm", 30).served < 25) return COULD_NOT_RUN;
        isInTrouble = hasTrouble;
        for (int i = 0; i < WATCHERS; i++) {
            String name = "watcher-" + i;
            Store.daemon(() -> watch(vm, name));
        }
        Thread.sleep(2000);
        Ordinary.Counts counts = callers.send("in trouble", 60);
        isOver = true;
        state("at the end of the trouble");
        Thread.sleep(5000);
        state("5 s later");
        Ordinary.Counts later = callers.send("afterwards", 30);
        state("at the end");
        return counts.breaksRule() || later.breaksRule() ? BROKEN : HELD;
    }

    private void state(String when) {
        for (Fleet.Vm vm : fleet.vms) {
            String text = vm.process.isAlive() ? "runs and is " + (fleet.isReady(vm) ? "ready" : "not ready") : "has ended with exit code " + vm.process.exitValue();
            log.plain(when + ": " + vm.name + " " + text);
        }
    }

    /** Sends requests one after the other, each on a new connection, and leaves at the deadline of each. */
    private void watch(Fleet.Vm vm, String name) {
        byte[] buffer = new byte[65536];
        for (int i = 0; !isOver; i++) {
            String id = name + "-" + i;
            long bytes = 0;
            long start = System.nanoTime();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(vm.ip, fleet.frontPort), 1000);
                socket.setSoTimeout(DEADLINE_MS);
                String text = Client.head("GET", HOST, "/watch/1", id, "key-of-bob", DEADLINE_MS, "Connection: close\r\n");
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                while (System.nanoTime() - start < DEADLINE_MS * 1_000_000L) {
                    int n = in.read(buffer);
                    if (n < 0) break;
                    bytes += n;
                }
            } catch (IOException e) {
                // The client leaves at its deadline.
            }
            log.line("client: %s at %s got %d bytes and left after %.3f s", id, vm.name, bytes, (System.nanoTime() - start) / 1e9);
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendWithoutEnd(Http request, OutputStream out) throws IOException, InterruptedException {
        String id = request.header("request-id");
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
        long bytes = 0;
        try {
            while (!isOver) {
                out.write(piece);
                bytes += piece.length;
            }
        } finally {
            log.line("instance: sent %d bytes of the answer to %s until its connection was closed", bytes, id);
        }
    }
}
