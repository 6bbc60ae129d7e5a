import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Three senders that replicate get a reload that moves discovery. Some time later one of them takes on messages and, with the trouble, its
 * machine is lost.
 */
final class CaseReload {
    private static final long TIME_LEFT = 12_000;
    private static final int MESSAGES = 60;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CaseReload::play);
    }

    private static int play(Rig rig) throws Exception {
        boolean reload = !"0".equals(System.getenv("RELOAD"));
        List<Rig.Receiver> receivers = List.of(rig.new Receiver("r-1", 1, 0, 250), rig.new Receiver("r-2", 1, 0, 250));
        Rig.Platform before = rig.new Platform("before", receivers);
        Rig.Platform after = rig.new Platform("after", receivers);
        rig.addSenders(3);
        Path file = rig.folder.resolve("sender.toml");
        rig.replace(file, settings(before));
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
        if (reload) {
            rig.replace(file, settings(after));
            for (Rig.Sender sender : rig.senders) {
                sender.signal("HUP");
            }
            Rig.pause(1_500);
            before.leave();
        }
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
        return rig.judgeLost(MESSAGES / 2);
    }

    private static String settings(Rig.Platform platform) {
        Map<String, String> top = new LinkedHashMap<>();
        top.put("discovery", "\"127.0.0.1:" + platform.port + "\"");
        return Rig.settings(top, "8s", "[survival]\non = true\ncopies = 3\nreplace = \"10s\"\n");
    }
}
