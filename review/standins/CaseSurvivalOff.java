import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Three senders that replicate are restarted one after another under load. With the trouble the sender file they come back with has
 * {@code survival.on = false}; without it the file is the same.
 */
final class CaseSurvivalOff {
    private static final long TIME_LEFT = 16_000;
    private static final int BURST = 192;
    private static final int CLIENTS = 8;
    private static final long PLAN_MS = 30_000;
    private static final AtomicLong NUMBERS = new AtomicLong(1);

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CaseSurvivalOff::play);
    }

    private static int play(Rig rig) throws Exception {
        Rig.Receiver first = rig.new Receiver("r-1", 1, 0, 250);
        Rig.Receiver second = rig.new Receiver("r-2", 1, 0, 250);
        Rig.Platform platform = rig.new Platform("p", List.of(first, second));
        rig.addSenders(3);
        Path file = rig.folder.resolve("sender.toml");
        rig.replace(file, settings(platform, true));
        for (Rig.Sender sender : rig.senders) {
            sender.config = file;
            sender.start();
        }
        for (Rig.Sender sender : rig.senders) {
            if (!sender.awaitReady(30_000)) {
                return 2;
            }
        }
        Rig.pause(4_000);
        for (Rig.Sender sender : rig.senders) {
            rig.background(() -> warmUp(rig, sender));
        }
        Rig.pause(24 * 150 + 2_500);
        CountDownLatch bursts = new CountDownLatch(rig.senders.size() * CLIENTS);
        for (Rig.Sender sender : rig.senders) {
            for (int i = 0; i < CLIENTS; i++) {
                rig.background(() -> load(rig, sender, bursts));
            }
        }
        bursts.await(10, TimeUnit.SECONDS);
        rig.replace(file, settings(platform, !rig.trouble));
        for (Rig.Sender sender : rig.senders) {
            long from = rig.now();
            sender.signal("TERM");
            while (sender.process.isAlive() && rig.now() - from < 10_000) {
                Rig.pause(20);
            }
            if (sender.process.isAlive()) {
                sender.signal("KILL");
                sender.process.waitFor();
            }
            if (rig.now() > PLAN_MS) {
                break;
            }
            Rig.pause(300);
            if (!startLikeASupervisor(sender)) {
                return 2;
            }
            Rig.pause(500);
        }
        rig.pauseUntil(PLAN_MS + TIME_LEFT + 2_000);
        List<Rig.Message> twice = rig.messages.values().stream()
                .filter(message -> message.accepted() && message.runs.size() > 1)
                .collect(Collectors.toList());
        long accepted = rig.messages.values().stream().filter(Rig.Message::accepted).count();
        rig.log("accepted " + accepted + ", run more than once " + twice.size());
        System.out.println("accepted " + accepted + ", run more than once " + twice.size());
        return twice.isEmpty() ? (accepted < BURST ? 2 : 0) : 1;
    }

    /** A process that ends before it is ready is started again, as after its journal was taken over (exit code 7). */
    private static boolean startLikeASupervisor(Rig.Sender sender) throws Exception {
        for (int starts = 0; starts < 5; starts++) {
            sender.start();
            if (sender.awaitReady(15_000)) {
                return true;
            }
            if (sender.process.isAlive()) {
                return false;
            }
            Rig.pause(300);
        }
        return false;
    }

    private static void warmUp(Rig rig, Rig.Sender sender) throws InterruptedException {
        try (Rig.Client client = rig.new Client(sender)) {
            for (int i = 0; i < 24; i++) {
                client.submit("premium-charge", 1, TIME_LEFT, NUMBERS.getAndIncrement());
                Rig.pause(150);
            }
        }
    }

    /** One of the clients of a sender: its part of the burst, then a steady load. */
    private static void load(Rig rig, Rig.Sender sender, CountDownLatch bursts) throws InterruptedException {
        try (Rig.Client client = rig.new Client(sender)) {
            for (int i = 0; i < BURST / CLIENTS; i++) {
                client.submit("premium-charge", 1, TIME_LEFT, NUMBERS.getAndIncrement());
            }
            bursts.countDown();
            while (rig.now() < PLAN_MS) {
                client.submit("premium-charge", 1, TIME_LEFT, NUMBERS.getAndIncrement());
                Rig.pause(60 * CLIENTS);
            }
        }
    }

    private static String settings(Rig.Platform platform, boolean survival) throws IOException {
        Map<String, String> top = new LinkedHashMap<>();
        top.put("discovery", "\"127.0.0.1:" + platform.port + "\"");
        return Rig.settings(top, "4s", "[survival]\non = " + survival + "\ncopies = 3\nreplace = \"10s\"\n");
    }
}
