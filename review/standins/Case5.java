package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty instances truncate a few of their answers: the head and half of the body come, and nothing more. A request that
 * is unanswered at its route's time-out must have an answer, or the end of its connection, half a second later.
 */
public final class Case5 {
    private static final double TRUNCATED = 0.05;
    private static final double TIMEOUT = 0.6;
    private static final double SLACK = 0.5;
    private static final int DEADLINE_MILLIS = 3000;
    private static final double LENGTH = 40;

    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger held = new AtomicInteger();
    private static final AtomicInteger truncated = new AtomicInteger();
    private static final AtomicInteger deserted = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Case.main(args[0], Case5::run);
    }

    private static void run(Case the) throws Exception {
        the.configure(List.of(Case.service("loans", false)), List.of(Case.route("loans", "unsafe", "loans", TIMEOUT)));
        for (int i = 0; i < 6; i++) new Loans(the, "loans-" + i, the.isTroubled && i % 2 == 0);
        String address = the.startVm(11, "sapporo");
        if (!the.awaitReady(11)) the.end(Case.NOT_RUN, "NOT RUN: the VM is not ready");
        Thread.sleep(1000);
        Thread[] clients = new Thread[8];
        for (int i = 0; i < clients.length; i++) {
            int number = i;
            clients[i] = Case.thread("client-" + i, () -> {
                for (int n = 0; !isOver; n++) send(the, address, String.format("%08x%08x", number, n));
            });
        }
        Thread.sleep((long) (LENGTH * 1000));
        isOver = true;
        for (Thread client : clients) client.join();
        String counts = served + " requests answered 200 in full, " + truncated + " answers truncated, " + late
            + " requests unanswered at the time-out of " + TIMEOUT + " s, " + held + " of them also " + SLACK
            + " s later, " + deserted + " of them until the client's deadline of " + DEADLINE_MILLIS / 1000 + " s";
        if (served.get() < 500) the.end(Case.NOT_RUN, "NOT RUN: " + counts);
        boolean isBroken = held.get() >= 8 && held.get() * 2 > late.get();
        the.end(isBroken ? Case.BROKEN : Case.HELD, (isBroken ? "CONFIG broken: " : "held: ") + counts);
    }

    private static void send(Case the, String address, String request) throws Exception {
        String[] parts = address.split(":");
        double start = the.seconds();
        String end;
        boolean isAnswered = false;
        Wire.Body body = new Wire.Body();
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(DEADLINE_MILLIS);
            start = the.seconds();
            Wire.write(socket.getOutputStream(), "POST /loans/book HTTP/1.1\r\nHost: loans\r\nRequest-Id: " + request
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\nloan");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Head head = Wire.readHead(in);
            if (head == null) throw new EOFException("closed");
            Wire.readBody(in, head, true, body);
            isAnswered = head.status() == 200;
            end = "answered " + head.status();
        } catch (SocketTimeoutException e) {
            end = "gave up at its deadline with " + body.bytes.size() + " bytes of the answer";
            deserted.incrementAndGet();
        } catch (java.io.IOException e) {
            end = "connection closed with " + body.bytes.size() + " bytes of the answer";
        }
        double took = the.seconds() - start;
        if (isAnswered) served.incrementAndGet();
        if (took > TIMEOUT) late.incrementAndGet();
        if (took > TIMEOUT + SLACK) held.incrementAndGet();
        the.log("client: " + request + " " + end + " after " + String.format("%.3f s", took));
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
            boolean isTruncated;
            synchronized (random) {
                isTruncated = isFaulty && random.nextDouble() < TRUNCATED;
            }
            if (!isTruncated) {
                super.request(connection, in, out, head);
                return;
            }
            String request = head.get("request-id");
            Wire.readBody(in, head, false, new Wire.Body());
            Thread.sleep(20);
            byte[] answer = answer(request);
            Wire.write(out, "HTTP/1.1 200 OK\r\n" + seal(request) + "Content-Length: " + answer.length + "\r\n\r\n");
            out.write(answer, 0, answer.length / 2);
            out.flush();
            truncated.incrementAndGet();
            the.log(id + " truncates its answer to " + request);
            while (in.read() >= 0) continue;
        }
    }
}
