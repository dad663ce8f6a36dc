package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Instances whose answers have no length and end with their connection, and that begin to answer a long upload before
 * they have read it. One instance after the other crashes, which resets its connections. An answer that was reset on
 * the way must not look complete to its client.
 */
public final class Case4 {
    private static final int PIECES = 40;
    private static final int PIECE_BYTES = 500;
    private static final int CRASHES = 21;

    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static final AtomicInteger reset = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Case.main(args[0], Case4::run);
    }

    private static void run(Case the) throws Exception {
        the.configure(List.of(Case.service("loans", false)), List.of(Case.route("loans", "unsafe", "loans", 2)));
        Loans[] loans = new Loans[7];
        for (int i = 0; i < loans.length; i++) loans[i] = new Loans(the, "loans-" + i);
        String address = the.startVm(11, "sapporo");
        if (!the.awaitReady(11)) the.end(Case.NOT_RUN, "NOT RUN: the VM is not ready");
        Thread.sleep(1000);
        AtomicInteger next = new AtomicInteger();
        Thread[] clients = new Thread[16];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = Case.thread("client-" + i, () -> {
                while (!isOver) send(the, address, next.getAndIncrement());
            });
        }
        for (int i = 0; i < CRASHES; i++) {
            Loans crashing = loans[i % loans.length];
            if (the.isTroubled) crashing.crash();
            Thread.sleep(2000);
            if (the.isTroubled) crashing.restart();
            Thread.sleep(1000);
        }
        isOver = true;
        for (Thread client : clients) client.join();
        String counts = next + " requests, " + whole + " answered in full, " + reset + " answers reset by a crash, "
            + broken + " of them complete to the client, " + cut + " cut";
        if (whole.get() < 100) the.end(Case.NOT_RUN, "NOT RUN: " + counts);
        the.end(broken.get() > 0 ? Case.BROKEN : Case.HELD, (broken.get() > 0 ? "MIXED broken: " : "held: ") + counts);
    }

    private static void send(Case the, String address, int n) throws Exception {
        String request = String.format("%016x", 0x77000L + n);
        byte[] piece = new byte[PIECE_BYTES];
        new Random(n).nextBytes(piece);
        String[] parts = address.split(":");
        Wire.Body body = new Wire.Body();
        int status = 0;
        boolean isSealed = false;
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(3000);
            OutputStream out = socket.getOutputStream();
            Wire.write(out, "POST /loans/book HTTP/1.1\r\nHost: loans\r\nRequest-Id: " + request
                + "\r\nDeadline-Ms: 2000\r\nContent-Length: " + PIECES * PIECE_BYTES + "\r\n\r\n");
            Case.thread("upload", () -> {
                for (int i = 0; i < PIECES; i++) {
                    out.write(piece);
                    out.flush();
                    Thread.sleep(1);
                }
            });
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Head head = Wire.readHead(in);
            if (head != null) {
                status = head.status();
                isSealed = head.get("response-seal") != null;
                Wire.readBody(in, head, true, body);
            }
        } catch (java.io.IOException e) {
            // The answer ends early, and the client notices.
        }
        boolean isWhole = Arrays.equals(body.bytes.toByteArray(), Instance.answer(request));
        boolean isMixed = status == 200 && body.isComplete && !isWhole;
        if (isMixed) broken.incrementAndGet();
        if (status == 200 && body.isComplete && isWhole) whole.incrementAndGet();
        if (status == 200 && !body.isComplete) cut.incrementAndGet();
        the.log("client: " + request + " answered " + status + (isSealed ? ", sealed, " : ", ") + body.bytes.size()
            + " bytes, " + (body.isComplete ? "complete" : "cut") + (isMixed ? " NOT THE WHOLE BODY" : ""));
    }

    private static final class Loans extends Instance {
        Loans(Case the, String id) throws Exception {
            super(the, id, "loans", "sapporo", false);
        }

        @Override
        void request(Socket connection, InputStream in, OutputStream out, Wire.Head head) throws Exception {
            String request = head.get("request-id");
            byte[] answer = answer(request);
            int sent = 0;
            try {
                in.read();
                Wire.write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + seal(request) + "\r\n");
                out.write(answer, 0, answer.length / 2);
                out.flush();
                sent = answer.length / 2;
                the.log(id + " begins to answer " + request);
                long left = head.length() - 1;
                byte[] buffer = new byte[8192];
                while (left > 0) {
                    int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
                    if (count < 0) throw new EOFException();
                    left -= count;
                }
                out.write(answer, sent, answer.length - sent);
                out.flush();
                sent = answer.length;
                the.log(id + " has answered " + request + " with " + sent + " bytes");
                connection.close();
            } finally {
                if (sent > 0 && sent < answer.length && isDown()) {
                    reset.incrementAndGet();
                    the.log(id + " was reset after " + sent + " of " + answer.length + " bytes to " + request);
                }
            }
        }
    }
}
