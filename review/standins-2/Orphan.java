import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A service that is divided by key leaves the configuration while the store turns one machine away for a moment, and
 * comes back with a later version.
 */
final class Orphan extends Setup {
    private static final String HOST = "desk.example";
    private static final int STORE_AWAY_MS = 800;
    private static final int REQUESTS = 60;
    private final Fleet fleet;
    private final List<Instance> instances = new ArrayList<>();

    private Orphan(String[] arguments) throws IOException {
        super(arguments);
        fleet = new Fleet(root, work, store, log, "zone-a", "zone-b", "zone-c");
    }

    public static void main(String[] arguments) throws Exception {
        Orphan orphan = new Orphan(arguments);
        run(orphan, orphan.fleet);
    }

    private static String with(int version, boolean hasView) {
        String swap = route("swap", "unsafe", "/swap/", "swap-desk", 1.5);
        String view = route("view", "safe", "/view/", "rota-view", 1.5);
        return config(version, hasView ? swap + "," + view : swap,
            hasView ? cluster("swap-desk", false) + "," + cluster("rota-view", true) : cluster("swap-desk", false));
    }

    @Override
    int play() throws Exception {
        store.put("op/config", with(3, true));
        int number = 0;
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 2; i++) {
                number++;
                instances.add(new Instance(store, log, "v-" + number, "rota-view", vm.zone, "127.0.2." + number, true, 3, 20));
                instances.add(new Instance(store, log, "s-" + number, "swap-desk", vm.zone, "127.0.3." + number, false, 3, 20));
            }
        }
        fleet.start();
        if (!fleet.awaitReady(40)) return COULD_NOT_RUN;
        Thread.sleep(4000);
        if (send("before", "/view/", true) < REQUESTS * 9 / 10) return COULD_NOT_RUN;
        if (send("before", "/swap/", false) < REQUESTS * 9 / 10) return COULD_NOT_RUN;
        String holder = store.text("cicadagauge/state/duty/rota-view");
        Fleet.Vm machine = fleet.vms.stream().filter(vm -> holder != null && holder.startsWith(vm.name + "@")).findFirst().orElse(null);
        if (machine == null) return COULD_NOT_RUN;
        log.plain("the machine that last wrote under a condition for the service is " + machine.name);
        if (hasTrouble) store.turnedAway = port -> fleet.isConnectionOf(machine, port);
        Thread.sleep(STORE_AWAY_MS / 2);
        store.put("op/config", with(7, false));
        log.line("operator: version r7, without the service");
        Thread.sleep(STORE_AWAY_MS / 2);
        store.turnedAway = null;
        log.plain("the store turned away " + store.refused.size() + " calls of " + machine.name + " in " + STORE_AWAY_MS + " ms");
        Thread.sleep(5000);
        send("without the service", "/swap/", false);
        store.put("op/config", with(12, true));
        log.line("operator: version r12, with the service again");
        Thread.sleep(10_000);
        int swaps = send("after", "/swap/", false);
        int views = send("after", "/view/", true);
        Thread.sleep(15_000);
        int viewsLater = send("20 s later", "/view/", true);
        log.line("keys of the system in the store: %s", store.keys("cicadagauge/state/"));
        log.plain("served: " + swaps + " of " + REQUESTS + " on the first route, " + (views + viewsLater) + " of " + 2 * REQUESTS
            + " on the route that was added later");
        return (views + viewsLater) * 4 < swaps * 2 ? BROKEN : HELD;
    }

    private int send(String phase, String path, boolean isKeyed) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Fleet.Vm vm = fleet.vms.get(i % fleet.vms.size());
            String id = (phase + path + i).replace(' ', '-').replace('/', '-');
            String more = isKeyed ? "Shard-Key: " + (i * 1091 % 65536) + "\r\n" : "Content-Length: 0\r\n";
            String text = Client.head(isKeyed ? "GET" : "POST", HOST, path + i, id, "key-of-ann", 1500, more);
            Client.Answer answer = Client.send(vm.ip, fleet.frontPort, text, 3000);
            log.line("client: %s at %s: %s", id, vm.name, answer);
            if (answer.status == 200) served++;
        }
        log.plain(phase + ": " + served + " of " + REQUESTS + " served on " + path);
        return served;
    }
}
