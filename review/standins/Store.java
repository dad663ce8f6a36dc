package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

/** The platform's key-value store, as PROTOCOL.md describes it, without limits. Answers take [latencyMillis]. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();

    private record Item(String value, long rev, long createRevision, long lease) {}

    private record Change(String key, Item item, long rev) {}

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7000;
    private final ServerSocket socket;
    volatile int latencyMillis = 4;

    /** Whether every call is answered with 503, which says that nothing was done. Leases pause meanwhile. */
    volatile boolean isOut;

    /** Called with the key and the value of each conditional write, before it is answered. */
    volatile java.util.function.BiConsumer<String, String> onWrite = (key, value) -> {};

    Store() throws Exception {
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Case.thread("store", this::accept);
        Case.thread("leases", this::expire);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Writes [value] under [key] as the operator or an instance does; null deletes it. */
    synchronized long put(String key, String value) {
        return apply(key, value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        List<String> found = new ArrayList<>();
        for (String key : items.keySet()) if (key.startsWith(prefix)) found.add(key);
        return found;
    }

    private long apply(String key, String encoded, long lease) {
        revision++;
        applyAt(key, encoded, lease);
        notifyAll();
        return revision;
    }

    private void applyAt(String key, String encoded, long lease) {
        Item old = items.get(key);
        if (encoded == null) {
            if (old == null) return;
            items.remove(key);
            history.add(new Change(key, null, revision));
        } else {
            Item item = new Item(encoded, revision, old == null ? revision : old.createRevision(), lease);
            items.put(key, item);
            history.add(new Change(key, item, revision));
        }
    }

    private void expire() throws Exception {
        while (true) {
            Thread.sleep(20);
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                if (isOut) leases.values().forEach(lease -> lease.endsAt += 20);
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> { if (lease.endsAt <= now) ended.add(id); });
                for (long id : ended) endLease(id);
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> { if (item.lease() == id) keys.add(key); });
        for (String key : keys) apply(key, null, 0);
    }

    private void accept() throws Exception {
        while (true) {
            Socket client = socket.accept();
            client.setTcpNoDelay(true);
            Case.thread("store-connection", () -> serve(client));
        }
    }

    private void serve(Socket client) throws Exception {
        try (client) {
            InputStream in = new java.io.BufferedInputStream(client.getInputStream());
            OutputStream out = client.getOutputStream();
            while (true) {
                Wire.Head head = Wire.readHead(in);
                if (head == null) return;
                Wire.Body body = new Wire.Body();
                Wire.readBody(in, head, false, body);
                Thread.sleep(latencyMillis);
                boolean isRefused = isOut;
                Answer answer = isRefused ? answer(503, JSON.createObjectNode()) : handle(head, body.bytes.toByteArray());
                byte[] bytes = JSON.writeValueAsBytes(answer.body);
                Wire.respond(out, answer.status + " S", "Content-Type: application/json\r\n", bytes);
            }
        }
    }

    private record Answer(int status, JsonNode body) {}

    private Answer answer(int status, ObjectNode body) {
        return new Answer(status, body);
    }

    private Answer handle(Wire.Head head, byte[] body) throws Exception {
        String target = head.start[1];
        String path = target.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        JsonNode json = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
        if (path.equals("/api/kv-key")) return key(query.get("key"));
        if (path.equals("/api/kv-range")) return range(query.get("pathPrefix"));
        if (path.equals("/api/kv-watch")) {
            return watch(query.get("pathPrefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
        }
        if (path.equals("/api/kv-txn")) return transact(json);
        if (path.equals("/api/kv-lease")) return lease(json);
        if (path.startsWith("/api/kv-keep/")) return keep(Long.parseLong(path.substring(13)));
        if (path.startsWith("/api/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring(18)));
            }
            return answer(200, JSON.createObjectNode());
        }
        return answer(404, JSON.createObjectNode());
    }

    private ObjectNode node(String key, Item item) {
        ObjectNode node = JSON.createObjectNode();
        node.put("key", key).put("value", item.value()).put("rev", item.rev());
        return node.put("createRevision", item.createRevision()).put("lease", item.lease());
    }

    private synchronized Answer key(String key) {
        Item item = items.get(key);
        if (item == null) return answer(404, JSON.createObjectNode().put("storeRevision", revision));
        return answer(200, node(key, item).put("storeRevision", revision));
    }

    private synchronized Answer range(String prefix) {
        ObjectNode result = JSON.createObjectNode();
        ArrayNode array = result.putArray("items");
        items.forEach((key, item) -> { if (key.startsWith(prefix)) array.add(node(key, item)); });
        return answer(200, result.put("morePages", false).put("storeRevision", revision));
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) throws Exception {
        long end = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            ObjectNode result = JSON.createObjectNode();
            ArrayNode events = result.putArray("events");
            for (Change change : history) {
                if (change.rev() <= after || !change.key().startsWith(prefix)) continue;
                if (change.item() != null) {
                    events.add(node(change.key(), change.item()));
                } else {
                    events.addObject().put("key", change.key()).put("rev", change.rev()).put("tombstone", true);
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (events.size() > 0 || left <= 0) return answer(200, result.put("storeRevision", revision));
            wait(left);
        }
    }

    private synchronized Answer transact(JsonNode json) {
        for (JsonNode row : json.path("expectRev")) {
            Item item = items.get(row.get("key").asText());
            if ((item == null ? 0 : item.rev()) != row.get("rev").asLong()) return conflict(json);
        }
        for (JsonNode put : json.path("puts")) {
            String key = put.get("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) return answer(403, JSON.createObjectNode());
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) return answer(404, JSON.createObjectNode());
        }
        revision++;
        for (JsonNode put : json.path("puts")) {
            String value = put.get("value").asText();
            applyAt(put.get("key").asText(), value, put.path("lease").asLong(0));
            onWrite.accept(put.get("key").asText(), new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8));
        }
        for (JsonNode key : json.path("deletes")) applyAt(key.asText(), null, 0);
        notifyAll();
        return answer(200, JSON.createObjectNode().put("rev", revision));
    }

    private Answer conflict(JsonNode json) {
        ObjectNode result = JSON.createObjectNode();
        ArrayNode array = result.putArray("items");
        for (JsonNode row : json.path("expectRev")) {
            String key = row.get("key").asText();
            Item item = items.get(key);
            if (item != null) array.add(node(key, item));
        }
        return answer(412, result);
    }

    private synchronized Answer lease(JsonNode json) {
        Lease lease = new Lease();
        lease.ttlMillis = (long) (Math.max(1.0, json.get("ttlS_time").asDouble()) * 1000);
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMillis;
        leases.put(++nextLease, lease);
        return answer(200, JSON.createObjectNode().put("lease", nextLease).put("ttlS_time", lease.ttlMillis / 1000.0));
    }

    private synchronized Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return answer(404, JSON.createObjectNode());
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMillis;
        return answer(200, JSON.createObjectNode().put("ttlS_time", lease.ttlMillis / 1000.0));
    }
}
