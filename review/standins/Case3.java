package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service that is divided by key, in three zones that operators take out one after the other. Some of its instances
 * are faulty: after a few of their answers they send the same answer again, late, where the next answer on that
 * connection is expected. No instance may be given a key on which another one is still at work under its hold.
 */
public final class Case3 {
    private static final String[] ZONES = {"sapporo", "asahikawa", "hakodate"};
    private static final int PER_ZONE = 5;
    private static final int FAULTY = 9;

    /** The share of its answers after which a faulty instance sends the same answer again. */
    private static final double EXTRA = 0.03;
    private static final double LENGTH = 95;

    private static final List<Catalogue> instances = new ArrayList<>();
    private static final AtomicInteger extras = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger moves = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Case.main(args[0], Case3::run);
    }

    private static void run(Case the) throws Exception {
        the.configure(List.of(Case.service("catalogue", true)), List.of(Case.route("catalogue", "safe", "catalogue", 0.5)));
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < ZONES.length * PER_ZONE; i++) {
            boolean isFaulty = the.isTroubled && i % 5 < 3;
            instances.add(new Catalogue(the, "catalogue-" + i, ZONES[i / PER_ZONE], isFaulty, i));
        }
        for (int i = 0; i < ZONES.length; i++) addresses.add(the.startVm(11 + i, ZONES[i]));
        for (int i = 0; i < ZONES.length; i++) {
            if (!the.awaitReady(11 + i)) the.end(Case.NOT_RUN, "NOT RUN: a VM is not ready");
        }
        Thread.sleep(2000);
        the.garble();
        for (int i = 0; i < 36; i++) {
            int number = i;
            Case.thread("client-" + i, () -> {
                for (int n = 0; !isOver; n++) send(the, addresses.get(number % addresses.size()), number, n);
            });
        }
        for (int i = 0; the.seconds() < LENGTH; i++) {
            String zone = ZONES[i % ZONES.length];
            the.log("the operator evacuates " + zone);
            the.store.put("op/evacuate/" + zone, "{}");
            Thread.sleep(1000);
            the.log("the operator takes " + zone + " back");
            the.store.put("op/evacuate/" + zone, null);
            Thread.sleep(600);
        }
        isOver = true;
        Thread.sleep(1000);
        String counts = served + " requests answered 200, " + moves + " grants to another instance, " + extras
            + " extra answers to orders, " + broken + " grants of keys on which another instance was at work";
        if (served.get() < 1000 || moves.get() < 20) the.end(Case.NOT_RUN, "NOT RUN: " + counts);
        the.end(broken.get() > 0 ? Case.BROKEN : Case.HELD, (broken.get() > 0 ? "OWNER broken: " : "held: ") + counts);
    }

    private static void send(Case the, String address, int client, int n) throws Exception {
        String request = String.format("%08x%08x", client, n);
        String[] parts = address.split(":");
        int key = new Random(client * 100_003L + n).nextInt(65_536);
        int status = 0;
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(2000);
            Wire.write(socket.getOutputStream(), "GET /catalogue/" + key + " HTTP/1.1\r\nHost: catalogue\r\nRequest-Id: "
                + request + "\r\nDeadline-Ms: 500\r\nShard-Key: " + key + "\r\nConnection: close\r\n\r\n");
            Wire.Head head = Wire.readHead(new BufferedInputStream(socket.getInputStream()));
            status = head == null ? 0 : head.status();
        } catch (java.io.IOException e) {
            // No answer.
        }
        if (status == 200) served.incrementAndGet();
        the.log("client: " + request + " key " + key + " answered " + status);
        if (status != 200) Thread.sleep(20);
    }

    private static final class Catalogue extends Instance {
        private final boolean isFaulty;
        private final Random random;

        /** Until when each key would be held by the last grant, whether or not it was released since. */
        private final double[] heldUntil = new double[65_536];
        private final Map<OutputStream, byte[]> late = new HashMap<>();

        Catalogue(Case the, String id, String zone, boolean isFaulty, int seed) throws Exception {
            super(the, id, "catalogue", zone, true);
            this.isFaulty = isFaulty;
            random = new Random(seed + System.nanoTime());
        }

        @Override
        void grant(InputStream in, OutputStream out, Wire.Head head) throws Exception {
            sendLate(out);
            super.grant(in, out, head);
        }

        @Override
        void release(InputStream in, OutputStream out, Wire.Head head) throws Exception {
            sendLate(out);
            super.release(in, out, head);
        }

        @Override
        void orderAnswered(OutputStream out, String status, String headers) {
            String answer = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
            synchronized (late) {
                if (isFaulty && the.isGarbling && random.nextDouble() < EXTRA) late.put(out, answer.getBytes());
            }
        }

        private void sendLate(OutputStream out) throws Exception {
            byte[] extra;
            synchronized (late) {
                extra = late.remove(out);
            }
            if (extra == null) return;
            extras.incrementAndGet();
            the.log(id + " sends an extra answer to its last order");
            out.write(extra);
            out.flush();
        }

        @Override
        boolean accept(JsonNode json) {
            int from = json.get("from").asInt();
            int target = json.get("target").asInt();
            double now = the.seconds();
            boolean isNew = !holdsKey(from) || !holdsKey(target);
            if (!super.accept(json)) return false;
            for (int key = from; key <= target; key++) heldUntil[key] = now + json.get("holdS").asDouble();
            if (!isNew) return true;
            moves.incrementAndGet();
            for (Catalogue other : instances) {
                if (other == this) continue;
                for (Run run : other.running()) {
                    double left = other.heldUntil[Math.max(0, run.key)] - now;
                    if (run.key < from || run.key > target || run.start > now || left <= 0) continue;
                    broken.incrementAndGet();
                    the.log(id + " IS GIVEN KEY " + run.key + " while " + other.id + " is at work on it since "
                        + String.format("%.4f", run.start) + " (" + run.request + "), whose hold lasts "
                        + String.format("%.3f", left) + " s more");
                    return true;
                }
            }
            return true;
        }

        List<Run> running() {
            List<Run> found = new ArrayList<>();
            synchronized (runs) {
                for (Run run : runs) if (run.end == Double.POSITIVE_INFINITY) found.add(run);
            }
            return found;
        }

        @Override
        void work(Run run, Wire.Head head, Wire.Body body) throws Exception {
            Thread.sleep(60);
            synchronized (runs) {
                runs.removeIf(old -> old.end < run.start - 5);
            }
        }
    }
}
