import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Three senders that replicate, one with work in hand and two idle, are told at one moment to stop for good. */
final class CaseFinalStop {
    private static final long TIME_LEFT = 15_000;
    private static final int MESSAGES = 150;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CaseFinalStop::play);
    }

    private static int play(Rig rig) throws Exception {
        List<Rig.Receiver> receivers = List.of(rig.new Receiver("r-1", 1, 0, 250), rig.new Receiver("r-2", 1, 0, 250));
        Rig.Platform platform = rig.new Platform("p", receivers);
        rig.addSenders(3);
        Path file = rig.folder.resolve("sender.toml");
        Map<String, String> top = new LinkedHashMap<>();
        top.put("discovery", "\"127.0.0.1:" + platform.port + "\"");
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
        }
        if (rig.trouble) {
            for (Rig.Sender sender : rig.senders) {
                rig.background(() -> sender.control("{\"do\":\"stop\",\"mode\":\"final\"}"));
            }
        }
        Rig.pause(TIME_LEFT + 2_000);
        return rig.judgeLost(MESSAGES / 2);
    }
}
