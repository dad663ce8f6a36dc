import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One client attempt, on a connection of its own. */
final class Client {
    /** What a client has seen: a status, or 0 where the connection ended, or -1 where nothing came in time. */
    static final class Answer {
        final int status;
        final String requestId;
        final boolean hasSeal;
        final String body;
        final double seconds;
        final String note;

        Answer(int status, String requestId, boolean hasSeal, String body, double seconds, String note) {
            this.status = status;
            this.requestId = requestId;
            this.hasSeal = hasSeal;
            this.body = body;
            this.seconds = seconds;
            this.note = note;
        }

        @Override
        public String toString() {
            return status + " after " + Math.round(seconds * 1000) + " ms" + (note.isEmpty() ? "" : " (" + note + ")");
        }
    }

    /** A request's head with the given id and further header lines, each of which ends with CRLF. */
    static String head(String method, String host, String path, String id, String key, int deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs
            + "\r\n" + (key == null ? "" : "Authorization: Bearer " + key + "\r\n") + more + "\r\n";
    }

    /** Sends [bytes] to the address and reads one answer, for at most [timeoutMs]. */
    static Answer send(String ip, int port, byte[] bytes, int timeoutMs) {
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http answer = Http.read(in);
            if (answer == null) return ended(0, start, "connection ended");
            answer.readBody(in, true);
            return new Answer(answer.status(), answer.header("request-id"), answer.header("response-seal") != null,
                new String(answer.body, StandardCharsets.UTF_8), since(start), detail(answer));
        } catch (SocketTimeoutException e) {
            return ended(-1, start, "no answer in time");
        } catch (IOException e) {
            return ended(0, start, e.getMessage());
        }
    }

    static Answer send(String ip, int port, String text, int timeoutMs) {
        return send(ip, port, text.getBytes(StandardCharsets.ISO_8859_1), timeoutMs);
    }

    private static String detail(Http answer) {
        String reason = answer.header("x-cicadagauge-reason");
        return reason == null ? "" : reason;
    }

    private static Answer ended(int status, long start, String note) {
        return new Answer(status, null, false, "", since(start), note);
    }

    private static double since(long start) {
        return (System.nanoTime() - start) / 1e9;
    }
}
