import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client names Content-Length among the options of its Connection header; its body looks like another request. */
final class Smuggled extends Setup {
    private static final String HOST = "desk.example";
    private final Fleet fleet;
    private final List<Instance> instances = new ArrayList<>();

    private Smuggled(String[] arguments) throws IOException {
        super(arguments);
        fleet = new Fleet(root, work, store, log, "zone-a", "zone-b", "zone-c");
    }

    public static void main(String[] arguments) throws Exception {
        Smuggled smuggled = new Smuggled(arguments);
        run(smuggled, smuggled.fleet);
    }

    @Override
    int play() throws Exception {
        store.put("op/config", config(1, route("swap", "unsafe", "/swap/", "swap-desk", 1.5), cluster("swap-desk", false)));
        int number = 0;
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 2; i++) {
                number++;
                String id = "i-" + number;
                instances.add(new Instance(store, log, id, "swap-desk", vm.zone, "127.0.2." + number, false, 3, 40));
            }
        }
        fleet.start();
        if (!fleet.awaitReady(40)) return COULD_NOT_RUN;
        Thread.sleep(2000);
        for (Fleet.Vm vm : fleet.vms) {
            for (int i = 0; i < 3; i++) {
                String id = "plain-" + vm.name + "-" + i;
                String text = Client.head("POST", HOST, "/swap/1", id, "key-of-ann", 1500, "Content-Length: 2\r\n") + "{}";
                Client.Answer answer = Client.send(vm.ip, fleet.frontPort, text, 3000);
                log.line("client ann: %s at %s: %s", id, vm.name, answer);
                if (answer.status != 200) return COULD_NOT_RUN;
            }
        }
        for (Fleet.Vm vm : fleet.vms) {
            String inner = "POST /swap/hidden HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: hidden-" + vm.name
                + "\r\nDeadline-Ms: 1500\r\nTenant: bob\r\nContent-Length: 2\r\n\r\n{}";
            String option = hasTrouble ? "Connection: Content-Length\r\n" : "";
            String text = Client.head("POST", HOST, "/swap/2", "outer-" + vm.name, "key-of-ann", 1500,
                option + "Content-Length: " + inner.length() + "\r\n") + inner;
            Client.Answer answer = Client.send(vm.ip, fleet.frontPort, text, 3000);
            log.line("client ann: outer-%s at %s: %s", vm.name, vm.name, answer);
        }
        Thread.sleep(2000);
        int hidden = 0;
        for (Instance instance : instances) {
            for (Instance.Run run : instance.allRuns()) {
                if (run.id.startsWith("hidden-")) {
                    hidden++;
                    log.plain("UNASKED: " + run + ", which no client sent; it stood in the body of outer-" + run.id.substring(7));
                }
            }
        }
        log.plain("requests that ran though no client had sent them: " + hidden);
        return hidden > 0 ? BROKEN : HELD;
    }
}
