import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message, request or response, as it was read from a connection. */
final class Http {
    String first;
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    /** Reads a message; null at the end of the connection before its first byte. */
    static Http read(InputStream in) throws IOException {
        Http message = new Http();
        String line = line(in);
        while (line != null && line.isEmpty()) line = line(in);
        if (line == null) return null;
        message.first = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("the head is incomplete");
        return message;
    }

    /** Reads the body of a message whose head was read; a response without a length ends with its connection. */
    void readBody(InputStream in, boolean isResponse) throws IOException {
        String coding = headers.getOrDefault("transfer-encoding", "");
        String length = headers.get("content-length");
        if (coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the body is incomplete");
                int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                all.write(exactly(in, n));
                line(in);
                if (n == 0) break;
            }
            body = all.toByteArray();
        } else if (length != null) {
            body = exactly(in, Integer.parseInt(length));
        } else if (isResponse) {
            body = in.readAllBytes();
        }
    }

    String method() {
        return first.split(" ")[0];
    }

    String path() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body is incomplete");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("the head is incomplete");
            }
            if (b == '\n') break;
            if (b != '\r') bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
