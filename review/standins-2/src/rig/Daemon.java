package rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One sender outside the platform, by a file in the form of deploy/amberroute.toml, with peers. */
public final class Daemon {
    private final Rec rec;
    private final Path root;
    private final Path folder;
    private final int index;
    public final int peerPort;
    /** The network to its peers, null where they are reached directly. */
    public PeerNet net;
    public final String name;
    public final int port;
    public final Platform platform;
    public final Client client;
    public Proc proc;
    /** How long a destination remembers an idempotency key. */
    public String keyLife = "5s";

    public Daemon(Rec rec, Path root, Path work, int index) throws IOException {
        this.rec = rec;
        this.root = root;
        this.index = index;
        name = "sender-" + (index + 1);
        folder = work.resolve(name);
        Files.createDirectories(folder.resolve("tmp"));
        port = Net.freePort();
        peerPort = Net.freePort();
        platform = new Platform(rec, name + ".agent");
        client = new Client(rec, port);
    }

    public Path log() {
        return folder.resolve("log");
    }

    /** Puts a network between these senders, which takes so long each way. */
    public static PeerNet connect(Rec rec, List<Daemon> all, long latencyMs) throws IOException {
        PeerNet net =
                new PeerNet(rec, all.stream().mapToInt(daemon -> daemon.peerPort).toArray(), latencyMs);
        all.forEach(daemon -> daemon.net = net);
        return net;
    }

    /** Writes its file and starts it; {@code more} are further lines of the file. */
    public void start(List<Daemon> all, String more) throws IOException {
        StringBuilder peers = new StringBuilder();
        for (Daemon other : all) {
            if (other != this) {
                peers.append(peers.length() == 0 ? "" : ", ")
                        .append('"')
                        .append(other.name)
                        .append('=')
                        .append(net == null ? "127.0.0.1:" + other.peerPort : net.address(index, other.index))
                        .append('"');
            }
        }
        String file = "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + port + "\"\nstate = \"" + folder.resolve("state")
                + "\"\ndiscovery = \"" + platform.address() + "\"\nsenders = " + all.size()
                + "\nzones = [\"a\"]\n[limits]\nslots = 16\nopen_messages = 400\ndescriptors = 1024\ndisk = \"16MB\"\n"
                + "[handover]\nlisten = \"127.0.0.1:" + peerPort + "\"\npeers = [" + peers + "]\n" + more
                + "[[class]]\nname = \"quote-status\"\neffect = \"safe\"\nworth = 2.0\nlate_share = 0.5\naim = \"2500ms\"\n"
                + "deadline = \"24s\"\n[[class]]\nname = \"policy-order\"\neffect = \"keyed\"\nkey_scope = \"destination\"\n"
                + "key_life = \"" + keyLife + "\"\nin_order = true\nworth = 1.0\nlate_share = 0.5\naim = \"2s\"\ndeadline = \"20s\"\n"
                + "[[class]]\nname = \"premium-charge\"\neffect = \"unsafe\"\nworth = 4.0\nlate_share = 0.5\naim = \"3s\"\n"
                + "deadline = \"16s\"\n[[kind]]\nname = \"insurer\"\nmessages_per_call = 1\n[[kind]]\nname = "
                + "\"small-partner\"\n";
        Path config = folder.resolve("amberroute.toml");
        Files.writeString(config, file);
        Map<String, String> environment = new HashMap<>();
        environment.put("GW_CONFIG", config.toString());
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        proc = Proc.start(rec, root, name, environment, log());
    }

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

    /** Sends a line to its control socket and returns the answer. */
    public String control(String line) throws IOException {
        rec.log(name + " control " + line);
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            channel.connect(UnixDomainSocketAddress.of(folder.resolve("state").resolve("control")));
            channel.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
            return new BufferedReader(new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))
                    .readLine();
        }
    }
}
