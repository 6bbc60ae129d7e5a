import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One sender; the receiver of one of two destinations hangs, so that messages for it end at their deadline. With the trouble, 50 other
 * clients send 500 PING commands at once each, and again as soon as they have all answers, for 12 s.
 */
final class CasePings {
    private static final int CLIENTS = 50;
    private static final int COMMANDS = 500;
    private static final long TIME_LEFT = 3_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CasePings::play);
    }

    private static int play(Rig rig) throws Exception {
        Rig.Receiver hung = rig.new Receiver("r-1", 1, 0, 20_000);
        Rig.Receiver sound = rig.new Receiver("r-2", 2, 0, 250);
        Rig.Platform platform = rig.new Platform("p", List.of(hung, sound));
        rig.addSenders(1);
        Rig.Sender sender = rig.senders.get(0);
        sender.peers = "";
        Path file = rig.folder.resolve("sender.toml");
        Map<String, String> top = new LinkedHashMap<>();
        top.put("discovery", "\"127.0.0.1:" + platform.port + "\"");
        rig.replace(file, Rig.settings(top, "8s", ""));
        sender.config = file;
        sender.start();
        if (!sender.awaitReady(30_000)) {
            return 2;
        }
        Rig.pause(2_000);
        long end = rig.now() + 17_000;
        for (int i = 0; i < 3; i++) {
            int part = i;
            rig.background(() -> usual(rig, sender, part, end));
        }
        Rig.pause(3_000);
        for (int i = 0; rig.trouble && i < CLIENTS; i++) {
            rig.background(() -> flood(rig, sender, end - 2_000));
        }
        rig.pauseUntil(end + TIME_LEFT + 2_000);
        return rig.judgeLost(30);
    }

    private static void usual(Rig rig, Rig.Sender sender, int part, long end) throws InterruptedException {
        try (Rig.Client client = rig.new Client(sender)) {
            long number = 1 + 100_000L * part;
            while (rig.now() < end) {
                client.submit(part == 0 ? "premium-charge" : "quote-status", 1 + part % 2, TIME_LEFT, number++);
                Rig.pause(100);
            }
        }
    }

    private static void flood(Rig rig, Rig.Sender sender, long end) throws InterruptedException {
        byte[] commands = "*1\r\n$4\r\nPING\r\n".repeat(COMMANDS).getBytes(StandardCharsets.US_ASCII);
        byte[] buffer = new byte[1 << 16];
        while (rig.now() < end) {
            try (Socket socket = new Socket("127.0.0.1", sender.port)) {
                socket.setSoTimeout(3_000);
                OutputStream out = socket.getOutputStream();
                InputStream in = socket.getInputStream();
                while (rig.now() < end) {
                    out.write(commands);
                    for (int left = COMMANDS * "+PONG\r\n".length(); left > 0; ) {
                        int read = in.read(buffer);
                        if (read < 0) {
                            throw new IOException("closed");
                        }
                        left -= read;
                    }
                }
            } catch (IOException e) {
                Rig.pause(10);
            }
        }
    }
}
