import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * A sender on the platform is replaced by a new process while discovery moves. With the trouble the file is replaced and SIGHUP sent to the
 * serving process while the new one starts; without it, to the new one when it is ready.
 */
final class CaseUpgradeReload {
    private static final long TIME_LEFT = 8_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CaseUpgradeReload::play);
    }

    private static int play(Rig rig) throws Exception {
        int door = Integer.parseInt(System.getenv("DOOR_PORT"));
        Rig.Receiver receiver = rig.new Receiver("r-1", 1, 0, 250);
        receiver.errorEvery = 4;
        Rig.Platform before = rig.new Platform("before", List.of(receiver));
        Rig.Platform after = rig.new Platform("after", List.of(receiver));
        Path file = rig.folder.resolve("config.json");
        rig.replace(file, config(before, receiver, door));
        Rig.Sender old = process(rig, "old", door, file, before);
        old.start();
        if (!awaitOps(old, true, 20_000)) {
            return 2;
        }
        rig.background(() -> load(rig, old));
        Rig.pause(4_000);
        Rig.Sender fresh = process(rig, "new", door, file, before);
        fresh.start();
        if (rig.trouble) {
            // The new process has read its configuration when its address for operators is open; it does not say yes yet.
            if (!awaitOps(fresh, false, 10_000)) {
                return 2;
            }
            rig.replace(file, config(after, receiver, door));
            old.signal("HUP");
        }
        if (!awaitOps(fresh, true, 10_000)) {
            return 2;
        }
        old.signal("TERM");
        if (!rig.trouble) {
            Rig.pause(1_000);
            rig.replace(file, config(after, receiver, door));
            fresh.signal("HUP");
        }
        Rig.pause(1_500);
        before.leave();
        Rig.pause(2_200);
        if (old.process.isAlive()) {
            old.signal("KILL");
        }
        rig.pauseUntil(24_000 + TIME_LEFT + 2_000);
        return rig.judgeLost(20);
    }

    private static Rig.Sender process(Rig rig, String folder, int door, Path file, Rig.Platform discovery)
            throws Exception {
        Rig.Sender sender = rig.new Sender(folder);
        sender.config = file;
        sender.variables.put("GW_NAME", "n1");
        sender.variables.put("GW_LISTEN", "127.0.0.1:" + door);
        sender.variables.put("GW_STATE", rig.folder.resolve("state").toString());
        sender.variables.put("GW_DISCOVERY", "127.0.0.1:" + discovery.port);
        sender.variables.put("GW_OPS", "127.0.0.1:" + sender.port);
        sender.variables.put("GW_ACCEPT_FD", "0");
        return sender;
    }

    /** Waits until the address for operators is open, or, for {@code yes}, until it says that the process takes clients. */
    private static boolean awaitOps(Rig.Sender sender, boolean yes, long withinMillis) throws Exception {
        long end = System.nanoTime() + withinMillis * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", sender.port), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                if (!yes || new String(head, StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return true;
                }
            } catch (java.io.IOException e) {
                // Not yet.
            }
            Rig.pause(5);
        }
        return false;
    }

    /** One message after another until 24 s behind the start; a client whose connection ends opens another. */
    private static void load(Rig rig, Rig.Sender sender) throws Exception {
        int door = Integer.parseInt(System.getenv("DOOR_PORT"));
        Rig.Sender entry = rig.new Sender("door", door);
        long number = 1;
        try (Rig.Client client = rig.new Client(entry)) {
            while (rig.now() < 24_000) {
                client.submit("premium-charge", 1, TIME_LEFT, number++);
                Rig.pause(150);
            }
        }
    }

    private static String config(Rig.Platform platform, Rig.Receiver receiver, int door) {
        return """
            {"name":"n1","listen":"127.0.0.1:DOOR","discovery":"127.0.0.1:DISCOVERY","seed":"8c1f30d27a5be964",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
            "known":{"rev":1,"all":true,"targets":[TARGET]},
            "settings":{"balancers":1,"az":0,"tick_us":5000,"membership_mode":"pushed","over_share_worth":0.1,"weight_kind":"off",
            "family_info":{"calls_out":8,"late":"even","per_call":[1],"routes_apart":[false],"toll":[]},
            "lanes":[{"name":"quote-status","effect":"pure","importance":2.0,"late_share":0.5,"goal_time_us":2500000,
            "deadline_us":24000000,"dedup_scope":"all","key_ttl_us":5000000,"stream":false},
            {"name":"premium-charge","effect":"side_effect","importance":4.0,"late_share":0.5,"goal_time_us":3000000,
            "deadline_us":16000000,"dedup_scope":"all","key_ttl_us":5000000,"stream":false}],
            "parties":[],"kinds":["small-partner"],"zones":["a"],
            "allowed":{"open_cap":200,"max_attempts":12,"parallel_tries":false,"cancel":true,"retry_after":true,
            "max_retry_after_us":3000000,"streams_per_conn":1,"keepalive_us":15000000,"connect_timeout_us":1000000},
            "rules":{"answer_slack_us":20000,"ask_within_us":10000000,"start_capacity":0.13,"cold_us":14000000,"fall_multiple":2.5,
            "fall_us":1500000,"settle_after_doubt_us":100000,"drain_grace_us":250000},
            "prices":{"handshake":0.06,"cross_zone":0.0},"reporting":{"how":"inline","names":["x0","x1"]}}}
            """
                .replace("DOOR", Integer.toString(door))
                .replace("DISCOVERY", Integer.toString(platform.port))
                .replace("TARGET", receiver.json("Ready"));
    }
}
