package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An instance of a service. It registers itself, runs requests and, where its service is divided by key, holds keys
 * under grants, as PROTOCOL.md describes it. Subclasses override what a case needs.
 */
class Instance {
    /** Keys that are held: from..target under fence until a moment in seconds of the case. */
    static final class Hold {
        final int from;
        final int target;
        final long fence;
        final double until;

        Hold(int from, int target, long fence, double until) {
            this.from = from;
            this.target = target;
            this.fence = fence;
            this.until = until;
        }
    }

    /** A request that an instance runs or has run; [end] is infinite while it runs. */
    static final class Run {
        final String request;
        final int key;
        final double start;
        volatile double end = Double.POSITIVE_INFINITY;

        Run(String request, int key, double start) {
            this.request = request;
            this.key = key;
            this.start = start;
        }
    }

    final Case the;
    final String id;
    final String service;
    final String zone;
    final boolean isSharded;
    private final int port;
    private volatile ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    final List<Hold> holds = new ArrayList<>();
    final List<Run> runs = new ArrayList<>();
    private final long[] fences = new long[65_536];
    private volatile long born = System.currentTimeMillis();
    private volatile String state = "ready";
    private int handovers;

    Instance(Case the, String id, String service, String zone, boolean isSharded) throws Exception {
        this.the = the;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.isSharded = isSharded;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        Case.thread(id, this::accept);
        Case.thread(id + "-beat", this::beat);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Ends this run: closes the port, and resets all connections, as a process does that has not read all of them. */
    void crash() throws Exception {
        the.log(id + " crashes");
        socket.close();
        for (Socket connection : open) {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (java.net.SocketException e) {
                // It has been closed meanwhile.
            }
        }
        open.clear();
        synchronized (holds) {
            holds.clear();
        }
    }

    /** Starts again under the same id, with a new time of birth. */
    void restart() throws Exception {
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new InetSocketAddress("127.0.0.1", port), 200);
        born = System.currentTimeMillis();
        socket = next;
        Case.thread(id, this::accept);
        the.log(id + " has started again");
    }

    boolean isDown() {
        return socket.isClosed();
    }

    private void beat() throws Exception {
        for (int seq = 1;; seq++) {
            while (isDown()) Thread.sleep(50);
            ObjectNode entry = Store.JSON.createObjectNode().put("service", service).put("address", address());
            entry.put("zone", zone).put("version", "v1").put("slots", 2).put("state", state).put("coldLeftS", 0);
            entry.put("seq", seq).put("born", born);
            the.store.put("servers/" + id, Store.JSON.writeValueAsString(entry));
            Thread.sleep(870);
        }
    }

    private void accept() throws Exception {
        ServerSocket own = socket;
        while (true) {
            Socket connection = own.accept();
            connection.setTcpNoDelay(true);
            open.add(connection);
            Case.thread(id + "-connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
            OutputStream out = connection.getOutputStream();
            while (true) {
                Wire.Head head = Wire.readHead(in);
                if (head == null) return;
                String expected = head.get("expect-instance");
                if (head.start[1].equals("/health")) {
                    Wire.Body none = new Wire.Body();
                    Wire.readBody(in, head, false, none);
                    Wire.respond(out, "200 OK", "Instance-Id: " + id + "\r\nServer-Load: 0,0,2\r\n", new byte[0]);
                } else if (expected != null && !expected.equals(id)) {
                    Wire.readBody(in, head, false, new Wire.Body());
                    Wire.respond(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", new byte[0]);
                } else if (head.start[1].equals("/api/grant")) {
                    grant(in, out, head);
                } else if (head.start[1].equals("/api/release")) {
                    release(in, out, head);
                } else {
                    request(connection, in, out, head);
                }
            }
        } finally {
            open.remove(connection);
        }
    }

    /** Handles a grant; the hold counts from its arrival. */
    void grant(InputStream in, OutputStream out, Wire.Head head) throws Exception {
        Wire.Body body = new Wire.Body();
        Wire.readBody(in, head, false, body);
        JsonNode json = Store.JSON.readTree(body.bytes.toByteArray());
        String status = accept(json) ? "200 OK" : "409 Conflict";
        Wire.respond(out, status, "", new byte[0]);
        orderAnswered(out, status, "");
    }

    /** Called after an order was answered with [status] and [headers]. */
    void orderAnswered(OutputStream out, String status, String headers) {}

    boolean accept(JsonNode json) {
        int from = json.get("from").asInt();
        int target = json.get("target").asInt();
        long fence = json.get("fence").asLong();
        synchronized (holds) {
            double now = the.seconds();
            for (int key = from; key <= target; key++) if (fences[key] > fence) return false;
            for (int key = from; key <= target; key++) fences[key] = fence;
            cut(from, target);
            holds.add(new Hold(from, target, fence, now + json.get("holdS").asDouble()));
        }
        the.log(id + " accepts keys " + from + ".." + target + " fence " + fence + " for " + json.get("holdS"));
        return true;
    }

    /** Takes the keys out of all holds. */
    private void cut(int from, int target) {
        List<Hold> rest = new ArrayList<>();
        for (Hold hold : holds) {
            if (hold.target < from || hold.from > target) {
                rest.add(hold);
                continue;
            }
            if (hold.from < from) rest.add(new Hold(hold.from, from - 1, hold.fence, hold.until));
            if (hold.target > target) rest.add(new Hold(target + 1, hold.target, hold.fence, hold.until));
        }
        holds.clear();
        holds.addAll(rest);
    }

    /** Stops new work on the keys at once, and answers when the work that runs on them has ended. */
    void release(InputStream in, OutputStream out, Wire.Head head) throws Exception {
        Wire.Body body = new Wire.Body();
        Wire.readBody(in, head, false, body);
        JsonNode json = Store.JSON.readTree(body.bytes.toByteArray());
        int from = json.get("from").asInt();
        int target = json.get("target").asInt();
        synchronized (holds) {
            long fence = json.get("fence").asLong();
            for (int key = from; key <= target; key++) fences[key] = Math.max(fences[key], fence);
            cut(from, target);
        }
        the.log(id + " is told to release keys " + from + ".." + target);
        while (isWorkingOn(from, target)) Thread.sleep(1);
        the.log(id + " has released keys " + from + ".." + target);
        String headers = "Handover: h" + id + "-" + handovers++ + "\r\n";
        Wire.respond(out, "200 OK", headers, new byte[0]);
        orderAnswered(out, "200 OK", headers);
    }

    boolean isWorkingOn(int from, int target) {
        synchronized (runs) {
            for (Run run : runs) {
                if (run.end == Double.POSITIVE_INFINITY && run.key >= from && run.key <= target) return true;
            }
        }
        return false;
    }

    boolean holdsKey(int key) {
        synchronized (holds) {
            double now = the.seconds();
            for (Hold hold : holds) if (hold.from <= key && key <= hold.target && now < hold.until) return true;
        }
        return false;
    }

    /** Runs one client's request. */
    void request(Socket connection, InputStream in, OutputStream out, Wire.Head head) throws Exception {
        String request = head.get("request-id");
        Wire.Body body = new Wire.Body();
        Wire.readBody(in, head, false, body);
        int key = isSharded ? Integer.parseInt(head.get("shard-key")) : -1;
        Run run = begin(request, key);
        if (run == null) {
            Wire.respond(out, "421 Misdirected Request", echo(request) + "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        work(run, head, body);
        run.end = the.seconds();
        Wire.respond(out, "200 OK", seal(request), answer(request));
    }

    /** Begins a request unless its key isn't held; a release that comes later finds it running. */
    private Run begin(String request, int key) {
        synchronized (holds) {
            if (isSharded && !holdsKey(key)) return null;
            Run run = new Run(request, key, the.seconds());
            synchronized (runs) {
                runs.add(run);
            }
            return run;
        }
    }

    /** Does the work of a request. */
    void work(Run run, Wire.Head head, Wire.Body body) throws Exception {
        Thread.sleep(20);
    }

    static String echo(String request) {
        return "Request-Id: " + request + "\r\n";
    }

    static String seal(String request) {
        return echo(request) + "Response-Seal: seal-of-" + request + "\r\n";
    }

    static byte[] answer(String request) {
        return ("the answer to " + request + " " + "x".repeat(1000)).getBytes(StandardCharsets.ISO_8859_1);
    }
}
