import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the record of a case: what was sent, answered and run, with the seconds since the start. */
final class Log {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8.3f %s%n", now(), String.format(format, values));
        out.flush();
    }

    synchronized void plain(String text) {
        out.println(text);
        out.flush();
        System.out.println(text);
    }
}
