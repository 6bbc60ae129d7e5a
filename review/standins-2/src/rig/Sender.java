package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** One sender on the platform: its agent, its folders, its process and its clients. */
public final class Sender {
    private final Rec rec;
    private final Path root;
    private final Path folder;
    public final String name;
    public final int port;
    public final Platform platform;
    public final Client client;
    public final Config config;
    public Proc proc;

    public Sender(Rec rec, Path root, Path work, String name, Config config) throws IOException {
        this.rec = rec;
        this.root = root;
        this.name = name;
        this.config = config;
        folder = work.resolve(name);
        Files.createDirectories(folder.resolve("state"));
        Files.createDirectories(folder.resolve("tmp"));
        port = Net.freePort();
        platform = new Platform(rec, name + ".agent");
        client = new Client(rec, port);
    }

    public Path log() {
        return folder.resolve("log");
    }

    public Path state() {
        return folder.resolve("state");
    }

    /** Writes the configuration and starts the process. */
    public void start() throws IOException {
        Files.writeString(folder.resolve("config.json"), config.json(name, "127.0.0.1:" + port, platform));
        Map<String, String> environment = new HashMap<>();
        environment.put("GW_NAME", name);
        environment.put("GW_LISTEN", "127.0.0.1:" + port);
        environment.put("GW_DISCOVERY", platform.address());
        environment.put("GW_STATE", state().toString());
        environment.put("GW_CONFIG", folder.resolve("config.json").toString());
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        proc = Proc.start(rec, root, name, environment, log());
    }

    /** Waits until it answers PING; false where it does not in time. */
    public boolean awaitReady(long withinMs) {
        double until = rec.ms() + withinMs;
        while (rec.ms() < until && proc.alive()) {
            if (client.ping()) {
                rec.log(name + " is ready");
                return true;
            }
            Net.sleep(20);
        }
        return false;
    }
}
