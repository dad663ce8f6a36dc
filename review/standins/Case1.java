package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long uploads in chunks. Instances of the service that are faulty reject a few requests before their body is in, with
 * 503 and Not-Executed, and read on later. Every request that runs must run with the body that its client sent.
 */
public final class Case1 {
    private static final int REQUESTS = 1500;
    private static final int BODY_BYTES = 200_000;
    private static final int PIECE_BYTES = 8_000;

    /** The share of its requests that a faulty instance rejects early. */
    private static final double REJECTED = 0.02;

    private static final Map<String, String> sent = new ConcurrentHashMap<>();
    private static final Map<String, byte[]> bodies = new ConcurrentHashMap<>();
    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger rejected = new AtomicInteger();
    private static final AtomicInteger ran = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Case.main(args[0], Case1::run);
    }

    private static void run(Case the) throws Exception {
        the.configure(List.of(Case.service("loans", false)), List.of(Case.route("loans", "unsafe", "loans", 5)));
        for (int i = 1; i <= 4; i++) new Loans(the, "loans-" + i, i % 2 == 0 && the.isTroubled);
        String address = the.startVm(11, "sapporo");
        if (!the.awaitReady(11)) the.end(Case.NOT_RUN, "NOT RUN: the VM is not ready");
        Thread.sleep(1000);
        the.garble();
        AtomicInteger next = new AtomicInteger();
        Thread[] clients = new Thread[6];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = Case.thread("client-" + i, () -> {
                for (int n = next.getAndIncrement(); n < REQUESTS; n = next.getAndIncrement()) send(the, address, n);
            });
        }
        for (Thread client : clients) client.join();
        Thread.sleep(1000);
        String counts = REQUESTS + " requests, " + ran + " ran, " + answered + " answered 200, " + rejected
            + " rejected early, " + broken + " ran with another body";
        if (answered.get() < REQUESTS / 2) the.end(Case.NOT_RUN, "NOT RUN: " + counts);
        the.end(broken.get() > 0 ? Case.BROKEN : Case.HELD, (broken.get() > 0 ? "UNASKED broken: " : "held: ") + counts);
    }

    private static void send(Case the, String address, int n) throws Exception {
        String request = String.format("%016x", 0x5a00L + n);
        byte[] body = new byte[BODY_BYTES];
        new Random(n).nextBytes(body);
        sent.put(request, digest(body));
        bodies.put(request, body);
        String[] parts = address.split(":");
        int status = 0;
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(6000);
            OutputStream out = socket.getOutputStream();
            Wire.write(out, "POST /loans/book HTTP/1.1\r\nHost: loans\r\nRequest-Id: " + request
                + "\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n");
            Thread writer = Case.thread("upload", () -> {
                for (int at = 0; at < body.length; at += PIECE_BYTES) {
                    int length = Math.min(PIECE_BYTES, body.length - at);
                    byte[] head = (Integer.toHexString(length) + "\r\n").getBytes();
                    byte[] piece = new byte[head.length + length + 2];
                    System.arraycopy(head, 0, piece, 0, head.length);
                    System.arraycopy(body, at, piece, head.length, length);
                    piece[piece.length - 2] = '\r';
                    piece[piece.length - 1] = '\n';
                    out.write(piece);
                    out.flush();
                    Thread.sleep(2);
                }
                Wire.write(out, "0\r\n\r\n");
            });
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Head head = Wire.readHead(in);
            status = head == null ? 0 : head.status();
            writer.join(6000);
        } catch (java.io.IOException e) {
            // The connection broke: the client knows nothing of its request.
        }
        if (status == 200) answered.incrementAndGet();
        the.log("client: " + request + " sent " + BODY_BYTES + " bytes, digest " + sent.get(request) + ", answered " + status);
        bodies.remove(request);
    }

    private static String digest(byte[] bytes) throws Exception {
        return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes), 0, 8);
    }

    private static final class Loans extends Instance {
        private final boolean isFaulty;
        private final Random random = new Random(7);

        Loans(Case the, String id, boolean isFaulty) throws Exception {
            super(the, id, "loans", "sapporo", false);
            this.isFaulty = isFaulty;
        }

        @Override
        void request(Socket connection, InputStream in, OutputStream out, Wire.Head head) throws Exception {
            boolean isRejected;
            synchronized (random) {
                isRejected = isFaulty && the.isGarbling && random.nextDouble() < REJECTED;
            }
            if (!isRejected) {
                super.request(connection, in, out, head);
                return;
            }
            rejected.incrementAndGet();
            String request = head.get("request-id");
            the.log(id + " rejects " + request + " before its body is in");
            Wire.respond(out, "503 Service Unavailable", echo(request) + "Not-Executed: 1\r\n", new byte[0]);
            Wire.readBody(in, head, false, new Wire.Body());
        }

        @Override
        void work(Run run, Wire.Head head, Wire.Body body) throws Exception {
            byte[] bytes = body.bytes.toByteArray();
            ran.incrementAndGet();
            String digest = digest(bytes);
            boolean isSame = digest.equals(sent.get(run.request));
            if (!isSame) broken.incrementAndGet();
            String tail = "";
            if (!isSame) {
                byte[] whole = bodies.get(run.request);
                if (whole != null && bytes.length <= whole.length) {
                    byte[] end = Arrays.copyOfRange(whole, whole.length - bytes.length, whole.length);
                    tail = Arrays.equals(bytes, end) ? ": only the end of the client's body" : "";
                }
            }
            the.log(id + " runs " + run.request + " with " + bytes.length + " bytes, digest " + digest
                + (isSame ? "" : " NOT THE CLIENT'S BODY" + tail));
            Thread.sleep(20);
        }
    }
}
