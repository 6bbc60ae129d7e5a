import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A keyed message whose first call may have run goes, within its key's life, to a receiver of another zone, where the key is not known. The
 * settings gain a zone while the sender runs. Arguments: the root, the case's folder.
 */
final class CaseZones {
    private static final int MESSAGES = 24;
    private static final String ERROR = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Stage.begin(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stage.Platform platform = new Stage.Platform();
        Map<String, List<String>> runs = new ConcurrentHashMap<>();
        Map<String, Set<String>> keysByZone = new ConcurrentHashMap<>();

        // Both run what they take unless their zone has the key, and answer some first calls with an error: those have run.
        Stage.Receiver norte = new Stage.Receiver("r-norte", (id, key, self) -> {
            boolean fresh = run("quito-norte", id, key, runs, keysByZone);
            return fresh && id.matches("order\\d*[048]") ? ERROR : Stage.OK;
        });
        Stage.Receiver centro = new Stage.Receiver("r-centro", (id, key, self) -> {
            boolean fresh = run("quito-centro", id, key, runs, keysByZone);
            return fresh && id.matches("order\\d*[048]") ? ERROR : Stage.OK;
        });

        Path tmp = Stage.folder("tmp");
        Path state = Stage.folder("state");
        Path config = Stage.folder("config").resolve("config.json");
        Path output = Path.of(arguments[1], "output.txt");
        Files.deleteIfExists(output);
        int port = Stage.freePort();
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
        String lane = Stage.lane("policy-order", "token", "zone", 20_000, 15_000);
        platform.change("s-norte", norte.address(), "quito-norte", "partner", 1, "Ready");
        String before = Stage.settings(161, 16, "\"quito-norte\"", lane);
        String after = Stage.settings(161, 16, "\"quito-centro\",\"quito-norte\"", lane)
                .replace("\"az\":0", "\"az\":1");
        Files.writeString(config, Stage.config("n1", port, platform, limits, trouble ? before : after));
        Process sender = Stage.start(
                root,
                Stage.runCommand(root),
                Stage.environment("n1", port, platform, state, config, tmp),
                output);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        if (!Stage.awaitReady(sender, address)) {
            System.exit(2);
        }
        Stage.sleep(1_500);
        try (Stage.Client client = new Stage.Client(address, 400)) {
            // Some usual messages: the receiver answers.
            for (int i = 0; i < 20; i++) {
                submit(client, "usual" + i, null);
                Stage.sleep(50);
            }
            if (trouble) {
                Files.writeString(config, Stage.config("n1", port, platform, limits, after));
                Stage.signal("HUP", sender.pid());
            }
            Stage.sleep(1_500);
            platform.change("s-centro", centro.address(), "quito-centro", "partner", 1, "Ready");
            Stage.sleep(1_000);
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < MESSAGES; i++) {
                submit(client, "order" + i, accepted);
                Stage.sleep(100);
            }
            Stage.sleep(16_000);
            boolean broken = false;
            for (Map.Entry<String, List<String>> each : runs.entrySet()) {
                Stage.log("key " + each.getKey() + " has taken effect in " + each.getValue());
                broken |= each.getValue().size() > 1;
            }
            if (accepted.isEmpty() || !sender.isAlive()) {
                System.exit(2);
            }
            Stage.log(broken ? "BROKEN: a message has taken effect twice" : "held");
            System.exit(broken ? 1 : 0);
        }
    }

    private static boolean run(
            String zone, String id, String key, Map<String, List<String>> runs, Map<String, Set<String>> keysByZone) {
        boolean fresh =
                keysByZone.computeIfAbsent(zone, none -> ConcurrentHashMap.newKeySet()).add(key);
        Stage.log("call of " + id + " with key " + key + " at the receiver in " + zone + (fresh ? ": runs" : ": repeat"));
        if (fresh) {
            runs.computeIfAbsent(key, none -> new CopyOnWriteArrayList<>()).add(zone);
        }
        return fresh;
    }

    private static void submit(Stage.Client client, String id, List<String> accepted) throws Exception {
        client.write(Stage.submit("0", id, "c=policy-order,d=15000,k=key-" + id + ",dest=1", Stage.text("body of " + id)));
        String answer = client.read();
        Stage.log("SUBMIT " + id + ": " + answer);
        if (accepted != null && answer.startsWith("+")) {
            accepted.add(id);
        }
    }
}
