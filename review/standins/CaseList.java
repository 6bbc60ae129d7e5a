import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Three senders that replicate follow a list of endpoints in a file. The list changes: a receiver is replaced by one at another address,
 * and its own address goes to a receiver of another destination. Some time later one sender takes on messages and, with the trouble, its
 * machine is lost.
 */
final class CaseList {
    private static final long TIME_LEFT = 12_000;
    private static final int MESSAGES = 60;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CaseList::play);
    }

    private static int play(Rig rig) throws Exception {
        Rig.Receiver old = rig.new Receiver("r-1", 1, 0, 250);
        Rig.Receiver other = rig.new Receiver("r-2", 2, 0, 250);
        Rig.Platform platform = rig.new Platform("p", List.of());
        rig.addSenders(3);
        Path list = rig.folder.resolve("endpoints.json");
        rig.replace(list, list(1, List.of(old, other)));
        Path file = rig.folder.resolve("sender.toml");
        Map<String, String> top = new LinkedHashMap<>();
        top.put("endpoints", "\"endpoints.json\"");
        top.put("notices", "\"127.0.0.1:" + platform.port + "\"");
        rig.replace(file, Rig.settings(top, "8s", "[survival]\non = true\ncopies = 3\nreplace = \"10s\"\n"));
        for (Rig.Sender sender : rig.senders) {
            sender.config = file;
            sender.start();
        }
        for (Rig.Sender sender : rig.senders) {
            if (!sender.awaitReady(30_000)) {
                return 2;
            }
        }
        Rig.pause(5_000);
        old.stop();
        Rig.Receiver fresh = rig.new Receiver("r-3", 1, 0, 250);
        Rig.Receiver reused = rig.new Receiver("r-4", 2, old.port, 250);
        rig.replace(list, list(2, List.of(fresh, other, reused)));
        Rig.pause(8_000);
        Rig.Sender first = rig.senders.get(0);
        long number = 1;
        try (Rig.Client client = rig.new Client(first)) {
            for (int i = 0; i < 16; i++) {
                client.submit(i % 2 == 0 ? "quote-status" : "premium-charge", 1, TIME_LEFT, number++);
                Rig.pause(200);
            }
            for (int i = 0; i < MESSAGES; i++) {
                client.submit(i % 2 == 0 ? "quote-status" : "premium-charge", 1, TIME_LEFT, number++);
                Rig.pause(5);
            }
            if (rig.trouble) {
                first.signal("KILL");
            }
        }
        Rig.pause(TIME_LEFT + 3_000);
        long accepted =
                rig.messages.values().stream().filter(Rig.Message::accepted).count();
        long wrong = rig.messages.values().stream()
                .filter(message -> message.accepted() && message.runs.stream().anyMatch(run -> run.startsWith("wrong")))
                .count();
        String result = "accepted " + accepted + ", sent to a receiver of another destination " + wrong;
        rig.log(result);
        System.out.println(result);
        return wrong > 0 ? 1 : accepted < MESSAGES / 2 ? 2 : 0;
    }

    private static String list(int version, List<Rig.Receiver> receivers) {
        StringBuilder text = new StringBuilder("{\"rev\":" + version + ",\"all\":true,\"targets\":[");
        for (Rig.Receiver receiver : receivers) {
            text.append(receiver == receivers.get(0) ? "" : ",").append(receiver.json("Ready"));
        }
        return text + "]}";
    }
}
