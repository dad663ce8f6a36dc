import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A stand-in of an instance: it registers itself, runs one request at a time on a connection and a few at once, and
 * holds keys if its service is divided by key. A case replaces [answer] where the instance is in trouble.
 */
class Instance {
    /** A request that this instance has begun to run. */
    static final class Run {
        final String instance;
        final String id;
        final String method;
        final String path;
        final String tenant;
        final int connection;

        Run(String instance, Http request, int connection) {
            this.instance = instance;
            this.id = request.header("request-id");
            this.method = request.method();
            this.path = request.path();
            this.tenant = request.header("tenant");
            this.connection = connection;
        }

        @Override
        public String toString() {
            return instance + " ran " + method + " " + path + " id=" + id + " tenant=" + tenant;
        }
    }

    private static final class Hold {
        int from;
        int to;
        long fence;
        long until;
    }

    final String id;
    final String service;
    final String zone;
    final boolean isSharded;
    final int slots;
    final int workMs;
    final String host;
    final int port;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new ArrayList<>();
    protected final Log log;
    private final Store store;
    private final ServerSocket server;
    private final Semaphore places;
    private final List<Hold> holds = new ArrayList<>();
    private final Map<Integer, Long> seenFences = new ConcurrentHashMap<>();
    private int seq;
    private int connections;

    Instance(Store store, Log log, String id, String service, String zone, String host, boolean isSharded, int slots, int workMs)
        throws IOException {
        this.store = store;
        this.log = log;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.isSharded = isSharded;
        this.slots = slots;
        this.workMs = workMs;
        places = new Semaphore(slots);
        server = new ServerSocket(0, 100, InetAddress.getByName(host));
        port = server.getLocalPort();
        Store.daemon(this::accept);
        Store.daemon(this::beat);
    }

    /** Answers [request], which runs; by default after the usual work, with the signature and a short body. */
    protected void answer(Http request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        Thread.sleep(workMs);
        respond(request, out, 200, "done " + request.header("request-id"));
    }

    /** Called when the head of [request] was read; an instance that reads slowly or stands still waits here. */
    protected void beforeBody(Http request) throws InterruptedException {
    }

    /** Writes a complete answer of a request that has run. */
    protected void respond(Http request, OutputStream out, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " OK\r\nRequest-Id: " + request.header("request-id")
            + "\r\nResponse-Seal: seal-" + request.header("request-id") + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes an answer that says that the request has not run. */
    protected void reject(Http request, OutputStream out, int status) throws IOException {
        String answeredId = request.header("request-id");
        String head = "HTTP/1.1 " + status + " -\r\n" + (answeredId == null ? "" : "Request-Id: " + answeredId + "\r\n")
            + "Not-Executed: 1\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    synchronized int countRuns(String requestId) {
        int count = 0;
        for (Run run : runs) if (requestId.equals(run.id)) count++;
        return count;
    }

    synchronized List<Run> allRuns() {
        return new ArrayList<>(runs);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                int number = ++connections;
                Store.daemon(() -> serve(socket, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void beat() {
        try {
            while (true) {
                store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + port + "\",\"zone\":\""
                    + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldLeftS\":0,\"seq\":" + (++seq)
                    + ",\"born\":" + born + "}");
                Thread.sleep(1500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.read(in);
                if (request == null) return;
                beforeBody(request);
                request.readBody(in, false);
                String expected = request.header("expect-instance");
                if (expected != null && !expected.equals(id)) {
                    reject(request, out, 421);
                } else if (request.path().equals("/api/grant")) {
                    plain(out, grant(Json.object(new String(request.body, StandardCharsets.UTF_8))) ? 200 : 409, "");
                } else if (request.path().equals("/api/release")) {
                    release(Json.object(new String(request.body, StandardCharsets.UTF_8)));
                    plain(out, 200, "Handover: " + UUID.randomUUID().toString().substring(0, 16) + "\r\n");
                } else if (request.path().equals("/health")) {
                    plain(out, 200, "Instance-Id: " + id + "\r\n");
                } else {
                    work(request, out, socket, connection);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The other side has closed the connection, or the case ends.
        } catch (RuntimeException e) {
            log.line("%s: %s", id, e);
        }
    }

    private void work(Http request, OutputStream out, Socket socket, int connection) throws IOException, InterruptedException {
        if (request.header("request-id") == null) {
            reject(request, out, 400);
            return;
        }
        if (isSharded && !holdsKey(request.header("shard-key"))) {
            reject(request, out, 421);
            return;
        }
        if (shedsNow(request, out, socket)) return;
        if (!places.tryAcquire(200, java.util.concurrent.TimeUnit.MILLISECONDS)) {
            reject(request, out, 503);
            return;
        }
        try {
            Run run = new Run(id, request, connection);
            synchronized (this) {
                runs.add(run);
            }
            log.line("%s (connection %d)", run, connection);
            answer(request, out, socket);
        } finally {
            places.release();
        }
    }

    /** Whether this instance has just rejected [request], because it has no room; by default it hasn't. */
    protected boolean shedsNow(Http request, OutputStream out, Socket socket) throws IOException {
        return false;
    }

    private synchronized boolean holdsKey(String key) {
        if (key == null) return false;
        int number = Integer.parseInt(key);
        long now = System.nanoTime();
        for (Hold hold : holds) if (hold.from <= number && number <= hold.to && now < hold.until) return true;
        return false;
    }

    private synchronized boolean grant(Map<String, Object> order) {
        int from = ((Double) order.get("from")).intValue();
        int to = ((Double) order.get("target")).intValue();
        long fence = ((Double) order.get("fence")).longValue();
        double seconds = (Double) order.get("holdS");
        for (Hold hold : holds) if (hold.from <= to && from <= hold.to && hold.fence > fence) return false;
        cut(from, to, Long.MAX_VALUE);
        Hold hold = new Hold();
        hold.from = from;
        hold.to = to;
        hold.fence = fence;
        hold.until = System.nanoTime() + (long) (seconds * 1e9);
        holds.add(hold);
        return true;
    }

    private synchronized void release(Map<String, Object> order) {
        int from = ((Double) order.get("from")).intValue();
        int to = ((Double) order.get("target")).intValue();
        long fence = ((Double) order.get("fence")).longValue();
        cut(from, to, fence);
        Hold seen = new Hold();
        seen.from = from;
        seen.to = to;
        seen.fence = fence;
        holds.add(seen);
    }

    /** Removes the keys from all holds up to [fence]. */
    private void cut(int from, int to, long fence) {
        for (Hold hold : new ArrayList<>(holds)) {
            if (hold.to < from || to < hold.from || hold.fence > fence) continue;
            holds.remove(hold);
            if (hold.from < from) holds.add(part(hold, hold.from, from - 1));
            if (hold.to > to) holds.add(part(hold, to + 1, hold.to));
        }
    }

    private static Hold part(Hold whole, int from, int to) {
        Hold part = new Hold();
        part.from = from;
        part.to = to;
        part.fence = whole.fence;
        part.until = whole.until;
        return part;
    }

    private static void plain(OutputStream out, int status, String headers) throws IOException {
        out.write(("HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
