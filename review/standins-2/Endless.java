import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Instances in trouble send the body of an answer without end; the clients wait longer than the route's timeout. */
final class Endless extends Setup {
    private static final String HOST = "desk.example";
    private static final double TIMEOUT_S = 1.0;
    private static final double SLACK_S = 0.5;
    private static final int CLIENTS = 12;
    private static final int PATIENCE_MS = 10_000;
    private final Fleet fleet;
    private volatile boolean isInTrouble;

    private Endless(String[] arguments) throws IOException {
        super(arguments);
        fleet = new Fleet(root, work, store, log, "zone-a", "zone-b", "zone-c");
    }

    public static void main(String[] arguments) throws Exception {
        Endless endless = new Endless(arguments);
        run(endless, endless.fleet);
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, route("view", "safe", "/view/", "rota-view", TIMEOUT_S), cluster("rota-view", false)));
        int number = 0;
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 2; i++) {
                number++;
                new Instance(store, log, "i-" + number, "rota-view", vm.zone, "127.0.2." + number, false, 3, 40) {
                    @Override
                    protected void answer(Http request, OutputStream out, Socket socket) throws IOException, InterruptedException {
                        if (!isInTrouble || !hasTrouble) super.answer(request, out, socket); else sendWithoutEnd(request, out);
                    }
                };
            }
        }
        fleet.start();
        if (!fleet.awaitReady(40)) return COULD_NOT_RUN;
        Thread.sleep(2000);
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 3; i++) {
                String text = Client.head("GET", HOST, "/view/1", "warm-" + vm.name + "-" + i, "key-of-ann", 1000, "");
                Client.Answer answer = Client.send(vm.ip, fleet.frontPort, text, 3000);
                log.line("client: warm-%s-%d: %s", vm.name, i, answer);
                if (answer.status != 200) return COULD_NOT_RUN;
            }
        }
        isInTrouble = true;
        AtomicInteger lasted = new AtomicInteger();
        AtomicInteger unfinished = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String id = "late-" + i;
            Fleet.Vm vm = fleet.vms.get(i % fleet.vms.size());
            Store.daemon(() -> {
                double end = secondsUntilFinal(vm, id);
                if (end > TIMEOUT_S) lasted.incrementAndGet();
                if (end > TIMEOUT_S + SLACK_S) unfinished.incrementAndGet();
                done.countDown();
            });
            Thread.sleep(100);
        }
        done.await();
        log.plain("requests that lasted longer than the route's timeoutS of " + TIMEOUT_S + " s: " + lasted + "; without a final answer "
            + SLACK_S + " s after it: " + unfinished);
        return unfinished.get() >= 8 && unfinished.get() * 4 > lasted.get() ? BROKEN : HELD;
    }

    /** When the answer ended, or its connection; or the client's patience, if neither did before. */
    private double secondsUntilFinal(Fleet.Vm vm, String id) {
        long start = System.nanoTime();
        String what = "the client's patience ended";
        long bytes = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(vm.ip, fleet.frontPort), 1000);
            String text = Client.head("GET", HOST, "/view/2", id, "key-of-ann", PATIENCE_MS, "");
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            byte[] buffer = new byte[4096];
            StringBuilder tail = new StringBuilder();
            while (millisSince(start) < PATIENCE_MS) {
                socket.setSoTimeout((int) Math.max(1, PATIENCE_MS - millisSince(start)));
                int n = in.read(buffer);
                if (n < 0) {
                    what = "the connection was closed";
                    break;
                }
                bytes += n;
                tail.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
                if (tail.length() > 200) tail.delete(0, tail.length() - 200);
                if (tail.toString().endsWith("\r\n0\r\n\r\n") || tail.toString().endsWith("done " + id) || tail.indexOf("verdict") >= 0) {
                    what = "the answer was complete";
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            what = "the client's patience ended";
        } catch (IOException e) {
            what = e.getMessage();
        }
        double seconds = millisSince(start) / 1000.0;
        log.line("client: %s at %s: %s after %.3f s and %d bytes", id, vm.name, what, seconds, bytes);
        return seconds;
    }

    private static long millisSince(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }

    private void sendWithoutEnd(Http request, OutputStream out) throws IOException, InterruptedException {
        String id = request.header("request-id");
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        String chunk = "200\r\n" + "x".repeat(512) + "\r\n";
        long pieces = 0;
        try {
            while (true) {
                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                pieces++;
                Thread.sleep(50);
            }
        } finally {
            log.line("instance: the connection of %s was closed after %d pieces", id, pieces);
        }
    }
}
