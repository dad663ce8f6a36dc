import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A stand-in of the platform's metadata store. It keeps the whole history and answers at once. A case may make it turn
 * machines away: their calls, but not those of others or of the operator, then get 503, which says that nothing was
 * done.
 */
final class Store {
    private static final class Item {
        String value;
        long rev;
        long created;
        long lease;
    }

    private static final class Change {
        final String key;
        final String value;
        final long rev;
        final long created;
        final long lease;

        Change(String key, String value, long rev, long created, long lease) {
            this.key = key;
            this.value = value;
            this.rev = rev;
            this.created = created;
            this.lease = lease;
        }
    }

    private static final class Reply {
        final int status;
        final String body;

        Reply(int status, String body) {
            this.status = status;
            this.body = body;
        }
    }

    final String host;
    final int port;
    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTimes = new HashMap<>();
    private final Map<Long, String> leaseKeys = new HashMap<>();
    private long revision = 10;
    private long nextLease = 1000;

    /** Which connections are turned away at present, by the port of their other end; null for none. */
    volatile Predicate<Integer> turnedAway;

    /** How many calls were turned away, by method and path. */
    final List<String> refused = new ArrayList<>();
    private final Log log;

    Store(String host, Log log) throws IOException {
        this.host = host;
        this.log = log;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        port = server.getLocalPort();
        daemon(this::accept);
        daemon(this::expire);
    }

    /** Writes an item as the operator or an instance does. */
    synchronized long put(String key, String text) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    /** Removes an item, as the operator or the platform does. */
    synchronized void remove(String key) {
        if (!items.containsKey(key)) return;
        revision++;
        delete(key);
        notifyAll();
    }

    /** The text of the item, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    /** All keys that begin with the prefix. */
    synchronized List<String> keys(String prefix) {
        List<String> result = new ArrayList<>();
        for (String key : items.keySet()) if (key.startsWith(prefix)) result.add(key);
        return result;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.read(in);
                if (request == null) return;
                request.readBody(in, false);
                boolean isAway = isTurnedAway(socket);
                Reply reply = isAway ? null : handle(request);
                // A watch that was waiting when its machine was turned away is cut.
                if (!isAway && request.path().startsWith("/api/kv-watch") && isTurnedAway(socket)) return;
                if (isAway) {
                    String what = request.first.split("\\?")[0] + " " + new String(request.body, StandardCharsets.UTF_8);
                    synchronized (refused) {
                        refused.add(what);
                    }
                    log.line("store: turned away: %s", what.length() > 160 ? what.substring(0, 160) : what);
                    reply = new Reply(503, "{}");
                }
                byte[] body = reply.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + reply.status + " -\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        } catch (IOException | RuntimeException | InterruptedException e) {
            if (!(e instanceof IOException)) log.line("store: %s", e);
        }
    }

    private boolean isTurnedAway(Socket socket) {
        Predicate<Integer> away = turnedAway;
        return away != null && away.test(socket.getPort());
    }

    private Reply handle(Http request) throws InterruptedException {
        String target = request.path();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals("/api/kv-key")) return get(query.get("key"));
        if (path.equals("/api/kv-range")) return range(query.get("pathPrefix"), query.get("after"));
        if (path.equals("/api/kv-watch")) {
            return watch(query.get("pathPrefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
        }
        if (path.equals("/api/kv-txn")) return transact(Json.object(new String(request.body, StandardCharsets.UTF_8)));
        if (path.equals("/api/kv-lease")) return lease(Json.object(new String(request.body, StandardCharsets.UTF_8)));
        if (path.startsWith("/api/kv-keep/")) return keep(Long.parseLong(path.substring("/api/kv-keep/".length())));
        if (path.startsWith("/api/kv-lease-end/")) return end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
        return new Reply(404, "{}");
    }

    private synchronized Reply get(String key) {
        Item item = items.get(key);
        if (item == null) return new Reply(404, "{\"storeRevision\":" + revision + "}");
        return new Reply(200, "{" + fields(key, item) + ",\"storeRevision\":" + revision + "}");
    }

    private synchronized Reply range(String prefix, String after) {
        StringBuilder all = new StringBuilder();
        for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            if (all.length() > 0) all.append(',');
            all.append('{').append(fields(entry.getKey(), entry.getValue())).append('}');
        }
        return new Reply(200, "{\"items\":[" + all + "],\"morePages\":false,\"storeRevision\":" + revision + "}");
    }

    private synchronized Reply watch(String prefix, long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.rev <= after || !change.key.startsWith(prefix)) continue;
                if (events.length() > 0) events.append(',');
                events.append("{\"key\":").append(Json.quote(change.key)).append(",\"rev\":").append(change.rev);
                if (change.value == null) {
                    events.append(",\"tombstone\":true}");
                } else {
                    events.append(",\"value\":").append(Json.quote(change.value)).append(",\"createRevision\":")
                        .append(change.created).append(",\"lease\":").append(change.lease).append('}');
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return new Reply(200, "{\"events\":[" + events + "],\"storeRevision\":" + revision + "}");
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Reply transact(Map<String, Object> body) {
        List<Object> expected = (List<Object>) body.getOrDefault("expectRev", List.of());
        StringBuilder current = new StringBuilder();
        boolean holds = true;
        for (Object row : expected) {
            String key = (String) ((Map<String, Object>) row).get("key");
            long rev = ((Double) ((Map<String, Object>) row).get("rev")).longValue();
            Item item = items.get(key);
            if ((item == null ? 0 : item.rev) != rev) holds = false;
            if (current.length() > 0 && item != null) current.append(',');
            if (item != null) current.append('{').append(fields(key, item)).append('}');
        }
        if (!holds) return new Reply(412, "{\"items\":[" + current + "],\"storeRevision\":" + revision + "}");
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        for (Object row : puts) {
            Object lease = ((Map<String, Object>) row).get("lease");
            if (lease != null && ((Double) lease) != 0 && !leaseEnds.containsKey(((Double) lease).longValue())) {
                return new Reply(404, "{}");
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            Object lease = put.get("lease");
            write((String) put.get("key"), (String) put.get("value"), lease == null ? 0 : ((Double) lease).longValue());
        }
        for (Object key : (List<Object>) body.getOrDefault("deletes", List.of())) delete((String) key);
        notifyAll();
        return new Reply(200, "{\"rev\":" + revision + ",\"storeRevision\":" + revision + "}");
    }

    private synchronized Reply lease(Map<String, Object> body) {
        double seconds = Math.max(1.0, (Double) body.get("ttlS_time"));
        long id = nextLease++;
        leaseTimes.put(id, (long) (seconds * 1e9));
        leaseEnds.put(id, System.nanoTime() + leaseTimes.get(id));
        return new Reply(200, "{\"lease\":" + id + ",\"ttlS_time\":" + seconds + "}");
    }

    private synchronized Reply keep(long id) {
        if (!leaseEnds.containsKey(id)) return new Reply(404, "{}");
        leaseEnds.put(id, System.nanoTime() + leaseTimes.get(id));
        return new Reply(200, "{\"lease\":" + id + "}");
    }

    private synchronized Reply end(long id) {
        if (leaseEnds.remove(id) == null) return new Reply(404, "{}");
        endKeys(id);
        return new Reply(200, "{}");
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (Long id : new ArrayList<>(leaseEnds.keySet())) {
                    if (leaseEnds.get(id) > now) continue;
                    leaseEnds.remove(id);
                    endKeys(id);
                }
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endKeys(long lease) {
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease == lease) keys.add(key);
        });
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::delete);
        notifyAll();
    }

    private void write(String key, String value, long lease) {
        Item item = items.computeIfAbsent(key, k -> new Item());
        if (item.created == 0) item.created = revision;
        item.value = value;
        item.rev = revision;
        item.lease = lease;
        history.add(new Change(key, value, revision, item.created, lease));
    }

    private void delete(String key) {
        if (items.remove(key) != null) history.add(new Change(key, null, revision, 0, 0));
    }

    private static String fields(String key, Item item) {
        return "\"key\":" + Json.quote(key) + ",\"value\":" + Json.quote(item.value) + ",\"rev\":" + item.rev
            + ",\"createRevision\":" + item.created + ",\"lease\":" + item.lease;
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }
}
