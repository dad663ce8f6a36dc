import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Ordinary callers, who send requests of one tenant at an even pace and count what has no answer in time. */
final class Ordinary {
    private static final int INTERVAL_MS = 100;
    private static final double SLACK_S = 0.5;
    private final Log log;
    private final String ip;
    private final int port;
    private final double timeoutS;

    Ordinary(Log log, String ip, int port, double timeoutS) {
        this.log = log;
        this.ip = ip;
        this.port = port;
        this.timeoutS = timeoutS;
    }

    /** How many requests of a phase were served, had no answer at the timeout, and none half a second later. */
    static final class Counts {
        int served;
        int open;
        int openLater;

        /** Whether more than half of those that were open at the timeout, and eight or more, were open later. */
        boolean breaksRule() {
            return openLater >= 8 && openLater * 2 > open;
        }
    }

    /** Sends [count] requests and waits for their answers. */
    Counts send(String phase, int count) throws InterruptedException {
        List<Client.Answer> answers = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            String id = phase + "-" + i;
            Store.daemon(() -> {
                String text = Client.head("GET", "desk.example", "/view/1", id, "key-of-ann", (int) (timeoutS * 1000), "");
                Client.Answer answer = Client.send(ip, port, text, 4000);
                log.line("caller: %s at %s: %s", id, ip, answer);
                synchronized (answers) {
                    answers.add(answer);
                }
                done.countDown();
            });
            Thread.sleep(INTERVAL_MS);
        }
        done.await();
        Counts counts = new Counts();
        for (Client.Answer answer : answers) {
            if (answer.status == 200 && answer.seconds <= timeoutS) counts.served++;
            if (answer.seconds > timeoutS) counts.open++;
            if (answer.seconds > timeoutS + SLACK_S) counts.openLater++;
        }
        log.plain(phase + ": " + counts.served + " of " + count + " served in time; " + counts.open + " unanswered at the route's "
            + "timeoutS of " + timeoutS + " s, " + counts.openLater + " of these still " + SLACK_S + " s later");
        return counts;
    }
}
