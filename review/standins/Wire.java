package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Wire {
    private Wire() {}

    /** The first line and the headers of a message. Header names are in lower case. */
    static final class Head {
        final String[] start;
        final Map<String, String> headers = new LinkedHashMap<>();

        Head(String line) {
            start = line.split(" ", 3);
        }

        String get(String name) {
            return headers.get(name);
        }

        long length() {
            String text = get("content-length");
            return text == null ? -1 : Long.parseLong(text.trim());
        }

        boolean isChunked() {
            String text = get("transfer-encoding");
            return text != null && text.toLowerCase(Locale.ROOT).contains("chunked");
        }

        int status() {
            return Integer.parseInt(start[1]);
        }
    }

    /** A body as it was received. It is complete only if its framing says so. */
    static final class Body {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean isComplete;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("in a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or returns null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Head head = new Head(line);
        while (true) {
            String field = readLine(in);
            if (field == null) throw new EOFException("in a head");
            if (field.isEmpty()) return head;
            int colon = field.indexOf(':');
            head.headers.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
    }

    /** Reads the body that belongs to [head] into [body]; a response without a length ends with its connection. */
    static void readBody(InputStream in, Head head, boolean isResponse, Body body) throws IOException {
        if (head.isChunked()) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("in a chunked body");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size > 0) copy(in, body, size);
                String end = readLine(in);
                if (end == null) throw new EOFException("in a chunked body");
                if (size == 0) break;
            }
        } else if (head.length() >= 0) {
            copy(in, body, head.length());
        } else if (isResponse) {
            byte[] buffer = new byte[8192];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) body.bytes.write(buffer, 0, count);
        }
        body.isComplete = true;
    }

    private static void copy(InputStream in, Body body, long length) throws IOException {
        byte[] buffer = new byte[8192];
        long left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (count < 0) throw new EOFException("in a body");
            body.bytes.write(buffer, 0, count);
            left -= count;
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void respond(OutputStream out, String status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
