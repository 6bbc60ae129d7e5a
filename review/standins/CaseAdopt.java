import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sender of a fleet with replication is killed and replaced on another folder, which takes the old folder over. A replica goes on with the
 * same messages. Arguments: the root, the case's folder.
 */
final class CaseAdopt {
    private static final int MESSAGES = 45;
    /** What a call takes at a partner of usual pace: 180 to 310 ms. */
    private static final long CALL_MILLIS = 300;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path caseFolder = Path.of(arguments[1]);
        Stage.begin(caseFolder.resolve("record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stage.Platform platform = new Stage.Platform();
        Map<String, List<Integer>> runs = new ConcurrentHashMap<>();
        Stage.Receiver receiver = new Stage.Receiver("r-1", (id, key, self) -> {
            Stage.log("call of " + id + " runs");
            runs.computeIfAbsent(id, none -> new CopyOnWriteArrayList<>()).add((int) Stage.now());
            Stage.sleep(CALL_MILLIS);
            return Stage.OK;
        });
        platform.change("s-1", receiver.address(), "quito-norte", "small-partner", 1, "Ready");

        Path folder = Stage.folder("fleet");
        int[] clients = {Stage.freePort(), Stage.freePort(), Stage.freePort()};
        int[] peers = {Stage.freePort(), Stage.freePort(), Stage.freePort()};
        List<Process> senders = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            senders.add(start(root, caseFolder, folder, platform, clients, peers, i, "state-" + (i + 1), ""));
        }
        InetSocketAddress first = new InetSocketAddress("127.0.0.1", clients[0]);
        for (int i = 0; i < 3; i++) {
            if (!Stage.awaitReady(senders.get(i), new InetSocketAddress("127.0.0.1", clients[i]))) {
                System.exit(2);
            }
        }
        List<String> accepted = new ArrayList<>();
        try (Stage.Client client = new Stage.Client(first, 400)) {
            long end = Stage.now() + 15_000;
            for (int i = 0; accepted.size() < MESSAGES && Stage.now() < end; i++) {
                submit(client, "charge" + i, accepted);
            }
        }
        if (accepted.size() < MESSAGES) {
            System.exit(2);
        }
        Stage.sleep(200);
        if (trouble) {
            long pid = senders.get(0).pid();
            Stage.signal("KILL", pid);
            senders.get(0).waitFor();
            Stage.sleep(300);
            senders.set(
                    0,
                    start(root, caseFolder, folder, platform, clients, peers, 0, "state-1-new", "adopt = [\"state-1\"]\n"));
            if (!Stage.awaitReady(senders.get(0), first)) {
                System.exit(2);
            }
        }
        // Every message's time is up by then.
        Stage.sleep(21_000);

        boolean broken = false;
        for (String id : accepted) {
            List<Integer> times = runs.getOrDefault(id, List.of());
            Stage.log(id + " ran at " + times + " ms, notices " + platform.notices.getOrDefault(id, List.of()));
            broken |= times.size() > 1;
        }
        Stage.log(broken ? "BROKEN: a message that must never take effect twice has run twice" : "held");
        System.exit(broken ? 1 : 0);
    }

    private static void submit(Stage.Client client, String id, List<String> accepted) throws IOException {
        client.write(Stage.submit("0", id, "c=premium-charge,d=20000,dest=1", Stage.text("body of " + id)));
        String answer = client.read();
        Stage.log("SUBMIT " + id + ": " + answer);
        if (answer.startsWith("+")) {
            accepted.add(id);
        } else {
            Stage.sleep(250);
        }
    }

    private static Process start(
            Path root,
            Path caseFolder,
            Path folder,
            Stage.Platform platform,
            int[] clients,
            int[] peers,
            int index,
            String state,
            String more)
            throws IOException {
        List<String> others = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            if (i != index) {
                others.add("\"sender-" + (i + 1) + "=127.0.0.1:" + peers[i] + "\"");
            }
        }
        String text = "name = \"sender-" + (index + 1) + "\"\n"
                + "listen = \"127.0.0.1:" + clients[index] + "\"\n"
                + "state = \"" + state + "\"\n"
                + "discovery = \"" + platform.address() + "\"\n"
                + "senders = 3\nzones = [\"quito-norte\"]\nadoption = true\n" + more
                + "[handover]\nlisten = \"127.0.0.1:" + peers[index] + "\"\npeers = [" + String.join(", ", others) + "]\n"
                + "[limits]\nslots = 4\n"
                + "[survival]\non = true\ncopies = 3\n"
                + "[[class]]\nname = \"premium-charge\"\neffect = \"unsafe\"\nworth = 4.0\nlate_share = 0.5\n"
                + "aim = \"3s\"\ndeadline = \"24s\"\n"
                + "[[kind]]\nname = \"small-partner\"\n";
        Path file = folder.resolve(state + ".toml");
        Files.writeString(file, text);
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("GW_CONFIG", file.toString());
        environment.put("TMPDIR", folder.toString());
        Path output = caseFolder.resolve("output-" + state + ".txt");
        Files.deleteIfExists(output);
        return Stage.start(root, Stage.runCommand(root), environment, output);
    }
}
