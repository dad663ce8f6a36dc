package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entry VMs are stopped with SIGTERM and started again, one after the other, each time the one that holds a duty. The
 * store is out for a part of the time. Clients keep their connections and use them every few seconds. A request that an instance
 * has begun to run must be answered: a planned stop cuts off no request.
 */
public final class Case5 {
    private static final String[] ZONES = {"sapporo", "asahikawa", "hakodate"};
    private static final int CLIENTS = 1400;
    private static final double MAX_PAUSE = 12;
    private static final int STOPS = 5;
    private static final int DEADLINE_MILLIS = 600;
    private static final long OUTAGE_MILLIS = 4500;

    /** The platform kills a process so long after it was asked to stop. */
    private static final double GRACE = 6;

    private static final Map<String, Double> begun = new ConcurrentHashMap<>();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger crossed = new AtomicInteger();
    private static final AtomicInteger other = new AtomicInteger();
    private static final List<String> addresses = new ArrayList<>();

    /** The VM that stops, or -1, and since when. New connections go to the others after two missed health checks. */
    private static volatile int stopping = -1;
    private static volatile double stoppingSince;
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Case.main(args[0], Case5::run);
    }

    private static void run(Case the) throws Exception {
        the.configure(List.of(Case.service("catalogue", true), Case.service("loans", false)), List.of(
            Case.route("catalogue", "safe", "catalogue", 0.5), Case.route("loans", "unsafe", "loans", 0.6)));
        for (int i = 0; i < 6; i++) new Instance(the, "catalogue-" + i, "catalogue", ZONES[i % 3], true);
        for (int i = 0; i < 28; i++) new Loans(the, "loans-" + i, ZONES[i % 3], i);
        Process[] vms = new Process[ZONES.length];
        for (int i = 0; i < ZONES.length; i++) {
            addresses.add(the.startVm(11 + i, ZONES[i]));
            vms[i] = the.processes.get(i);
        }
        for (int i = 0; i < ZONES.length; i++) {
            if (!the.awaitReady(11 + i)) the.end(Case.NOT_RUN, "NOT RUN: a VM is not ready");
        }
        Thread.sleep(2500);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Case.thread("client-" + i, () -> client(the, number));
        }
        Thread.sleep(8000);
        for (int i = 0; i < STOPS; i++) {
            int holder = dutyHolder(the);
            if (holder < 0) the.end(Case.NOT_RUN, "NOT RUN: no VM holds the duty");
            if (the.isTroubled) Case.thread("outage", () -> outage(the));
            Thread.sleep(500);
            stoppingSince = the.seconds();
            stopping = holder;
            the.terminate(vms[holder]);
            while (vms[holder].isAlive() && the.seconds() < stoppingSince + GRACE) Thread.sleep(5);
            the.log("entry VM " + (11 + holder) + (vms[holder].isAlive() ? " is killed after " : " ended after ")
                + String.format("%.3f s", the.seconds() - stoppingSince));
            if (vms[holder].isAlive()) vms[holder].destroyForcibly().waitFor();
            the.startVm(11 + holder, ZONES[holder]);
            vms[holder] = the.processes.get(the.processes.size() - 1);
            if (!the.awaitReady(11 + holder)) the.end(Case.NOT_RUN, "NOT RUN: a VM is not ready");
            stopping = -1;
            Thread.sleep(7000);
        }
        isOver = true;
        String counts = served + " requests answered 200, " + other + " other answers, " + crossed
            + " connections closed before the request reached an instance, " + broken
            + " requests cut off while an instance was at work";
        if (served.get() < 1000) the.end(Case.NOT_RUN, "NOT RUN: " + counts);
        the.end(broken.get() > 0 ? Case.BROKEN : Case.HELD, (broken.get() > 0 ? "LOST broken: " : "held: ") + counts);
    }

    private static void outage(Case the) throws Exception {
        the.store.isOut = true;
        the.log("the store is out: it answers 503");
        Thread.sleep(OUTAGE_MILLIS);
        the.store.isOut = false;
        the.log("the store is back");
    }

    /** The number of the VM that holds the duty of the divided service, from the key that it wrote to the store. */
    private static int dutyHolder(Case the) {
        for (String key : the.store.keys("cicadagauge/state/")) {
            String value = the.store.get(key);
            if (!key.contains("catalogue") || !value.startsWith("front-")) continue;
            for (int i = 0; i < ZONES.length; i++) if (value.startsWith("front-" + ZONES[i] + "-")) return i;
        }
        return -1;
    }

    private static void client(Case the, int number) throws Exception {
        Random random = new Random(number);
        for (int n = 0; !isOver;) {
            int vm = number % addresses.size();
            if (vm == stopping) vm = (vm + 1 + random.nextInt(addresses.size() - 1)) % addresses.size();
            String[] parts = addresses.get(vm).split(":");
            try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Thread.sleep((long) (random.nextDouble() * MAX_PAUSE * 1000));
                    if (isOver || !send(the, socket, in, vm, String.format("%08x%08x", number, n++))) break;
                }
            } catch (java.io.IOException e) {
                Thread.sleep(100);
            }
        }
    }

    /** Sends one request; false if the connection can't be used again. */
    private static boolean send(Case the, Socket socket, InputStream in, int vm, String request) throws Exception {
        double sentAt = the.seconds();
        OutputStream out = socket.getOutputStream();
        try {
            socket.setSoTimeout(DEADLINE_MILLIS);
            Wire.write(out, "POST /loans/book HTTP/1.1\r\nHost: loans\r\nRequest-Id: " + request + "\r\nDeadline-Ms: "
                + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\nloan");
            Wire.Head head = Wire.readHead(in);
            if (head == null) throw new EOFException("closed");
            Wire.Body body = new Wire.Body();
            Wire.readBody(in, head, true, body);
            if (head.status() == 200) served.incrementAndGet(); else other.incrementAndGet();
            the.log("client: " + request + " answered " + head.status());
            return !"close".equals(head.get("connection"));
        } catch (SocketTimeoutException e) {
            other.incrementAndGet();
            the.log("client: " + request + " reached its deadline");
            return false;
        } catch (java.io.IOException e) {
            if (isOver) return false;
            boolean isStopping = vm == stopping;
            String since = isStopping ? String.format(", sent %.3f s after SIGTERM", sentAt - stoppingSince) : "";
            Double begin = begun.get(request);
            if (begin == null) {
                crossed.incrementAndGet();
                the.log("client: " + request + " on a closed connection, not passed on" + since);
            } else {
                if (isStopping) broken.incrementAndGet();
                the.log("client: " + request + " CUT OFF after " + String.format("%.3f s", the.seconds() - sentAt) + since
                    + ", while its instance was at work since " + String.format("%.4f", begin));
            }
            return false;
        }
    }

    /** Speeds differ, and neighbours slow an instance down by three a fifth of the time. */
    private static final class Loans extends Instance {
        private final double speed;
        private final Random random;

        Loans(Case the, String id, String zone, int number) throws Exception {
            super(the, id, "loans", zone, false);
            speed = new double[] {0.6, 1.0, 1.4}[number % 3];
            random = new Random(number);
        }

        @Override
        void work(Run run, Wire.Head head, Wire.Body body) throws Exception {
            begun.put(run.request, run.start);
            the.log(id + " runs " + run.request);
            double millis;
            synchronized (random) {
                double noise = random.nextDouble() < 0.2 ? 3 : 1;
                millis = 78 / speed * noise * (0.5 + random.nextDouble());
            }
            Thread.sleep((long) Math.min(580, millis));
        }
    }
}
