package amberroute.fleet;

import amberroute.config.Schema;
import amberroute.config.Settings;
import amberroute.config.Units;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A service definition: how many daemons, what each is called, where it listens and keeps its state, and the rules by
 * which they are started, stopped and started again. Spans are milliseconds.
 */
public record FleetDefinition(
        Path file,
        String name,
        Path directory,
        List<Instance> instances,
        Policy policy,
        long logBytes,
        int count,
        boolean slowStartShared) {

    /**
     * One daemon. {@code listen} has its address in figures with a port, {@code sender} is the file it reads,
     * {@code command} what starts it. {@code handOver} is where it listens for its peers, null where daemons do not speak with
     * one another; {@code adopt} names folders that it takes over.
     */
    public record Instance(
            String name,
            String listen,
            Path state,
            Path sender,
            List<String> command,
            String handoffAddress,
            List<Path> orphanedDirectories) {
        /** Its control socket, where the daemon puts it if its file does not say otherwise. */
        public Path control() {
            return state.resolve("control");
        }
    }

    /**
     * {@code startAtOnce} daemons may be starting at a time; one that is not ready after {@code readyWithin} has failed.
     * A stop takes {@code stopWithin} and is ended by force {@code stopGrace} later. The dead are started again after
     * {@code pause}, doubled with each death in a row up to {@code longestPause}; {@code mostDeaths} within
     * {@code deathSpan} are a crash loop. A rolling restart has {@code rollAtOnce} daemons down at a time and leaves
     * {@code rollPause} between one that is ready and the next; with {@code rollMove} each hands over what it holds.
     */
    public record Policy(
            int maxStarting,
            long readyTimeoutMillis,
            long stopTimeoutMillis,
            long killDelayMillis,
            long restartBackoffMillis,
            long maxRestartBackoffMillis,
            int crashLoopCount,
            long crashLoopWindowMillis,
            int maxRestarting,
            long rollingPauseMillis,
            long stableAfterMillis,
            boolean rollingHandoff) {}

    private static final int LONGEST_SOCKET_PATH = 107;

    private static final Schema INSTANCE = new Schema()
            .needText("name", "which instance")
            .address("listen", false, "where it listens instead")
            .text("state", null, "its state folder instead, relative to this file")
            .text("sender", null, "its sender file instead, with limits of its own, relative to this file")
            .address("handover", false, "where it listens for its peers instead")
            .list("adopt", "state folders of instances that it replaces, relative to this file, the newest first")
            .size("heap", "0B", "0B", "64GB", "its heap instead");

    /** All keys of the file. */
    public static final Schema SCHEMA = new Schema()
            .text("name", "fleet", "what the fleet is called, in status and logs")
            .needText("sender", "the sender file that all daemons read, relative to this file")
            .text("folder", "run", "holds the state folders, the logs and the control socket, relative to this file")
            .whole("count", null, 1, 4_096, "how many daemons")
            .whole("most", 0L, 0, 4_096, "how many fleet scale may ask for; as many as count if not told")
            .text("names", "sender-%d", "what they are called; %d is 1 and up")
            .address("listen", true, "where the first listens; each further one has the next port")
            .size("heap", "40MB", "24MB", "64GB", "each daemon's heap, where java is not told")
            .list("java", "the command that starts the JVM, with its flags; lean flags for a small heap if not told")
            .flag(
                    "archive",
                    true,
                    "starts from the class-data archive beside the jar, where there is one and java is not told")
            .text("jar", null, "the daemon's jar; the one beside this program if not told")
            .whole("start.at_once", 4L, 1, 4_096, "daemons that may be starting at a time")
            .duration("start.ready_within", "30s", "100ms", "1h", "one that is not ready by then has failed")
            .duration("stop.within", "8s", "100ms", "1h", "how long a daemon may take to stop")
            .duration("stop.grace", "2s", "0s", "10m", "it is killed when it has not ended so long after that")
            .duration("restart.pause", "300ms", "0s", "10m", "before one that died is started again; doubles each time")
            .duration("restart.longest", "30s", "0s", "1h", "the longest such pause")
            .whole(
                    "restart.deaths",
                    5L,
                    1,
                    1_000,
                    "so many deaths within the span below are a crash loop, and it is left alone")
            .duration("restart.span", "2m", "1s", "1d", "the span in which they count")
            .duration(
                    "restart.steady",
                    "20s",
                    "0s",
                    "1h",
                    "one that has been ready for so long starts over with short pauses")
            .whole("rolling.at_once", 1L, 1, 4_096, "daemons that a rolling restart has down at a time")
            .duration("rolling.pause", "500ms", "0s", "1h", "between one that is ready again and the next")
            .flag("rolling.move", false, "daemons hand over what they hold before they restart; needs handover.listen")
            .address(
                    "handover.listen",
                    false,
                    "where the first listens for its peers; each further one has the next port; daemons do not speak with one another if not told")
            .flag(
                    "handover.gentle",
                    false,
                    "daemons agree on what they give a partner that is cold; needs handover.listen")
            .size("logs.size", "4MB", "16KB", "1GB", "a daemon's log file, which is kept once more when it is full")
            .tables("instance", INSTANCE, 0, "what differs for one daemon");

    private static final List<String> LEAN = List.of(
            "java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-XX:-UsePerfData",
            "-Xss512k",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:+ExitOnOutOfMemoryError",
            "-Djdk.nio.maxCachedBufferSize=65536",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true");

    /** Reads and checks a definition; {@code jar} is the daemon's, where the file names none. */
    public static FleetDefinition read(Path file, Path jar) {
        Settings s = SCHEMA.read(file);
        Path base = file.toAbsolutePath().normalize().getParent();
        Path folder = base.resolve(s.text("folder")).normalize();
        Path daemon = s.has("jar") ? base.resolve(s.text("jar")) : jar;
        List<Instance> instances = instances(s, base, folder, daemon);
        if (s.micros("restart.longest") < s.micros("restart.pause")) {
            throw s.bad("restart.longest", "is shorter than restart.pause");
        }
        FleetDefinition definition = new FleetDefinition(
                file,
                s.text("name"),
                folder,
                instances,
                new Policy(
                        s.whole("start.at_once"),
                        s.millis("start.ready_within"),
                        s.millis("stop.within"),
                        s.millis("stop.grace"),
                        s.millis("restart.pause"),
                        s.millis("restart.longest"),
                        s.whole("restart.deaths"),
                        s.millis("restart.span"),
                        s.whole("rolling.at_once"),
                        s.millis("rolling.pause"),
                        s.millis("restart.steady"),
                        s.flag("rolling.move")),
                s.bytes("logs.size"),
                s.whole("count"),
                s.flag("handover.gentle"));
        fits(s, definition.control());
        for (String key : List.of("rolling.move", "handover.gentle")) {
            if (s.flag(key) && !s.has("handover.listen")) {
                throw s.bad(key, "needs handover.listen");
            }
        }
        return definition;
    }

    /** What starts one daemon: lean flags and a heap of one size, of which 2/5 are for what is young. */
    private static List<String> command(Settings s, Path daemon, Path sender, long heap) {
        List<String> command = new ArrayList<>(s.list("java").isEmpty() ? LEAN : s.list("java"));
        if (s.list("java").isEmpty()) {
            command.addAll(List.of("-Xms" + heap, "-Xmx" + heap, "-Xmn" + heap * 2 / 5));
        }
        Path archive = daemon.resolveSibling(daemon.getFileName().toString().replaceAll("\\.jar$", "") + ".jsa");
        if (s.list("java").isEmpty() && s.flag("archive") && Files.isRegularFile(archive)) {
            command.addAll(List.of(
                    "-XX:SharedArchiveFile=" + archive,
                    "-Xlog:disable",
                    "-Xlog:all=error:stderr",
                    "-Xlog:cds=off:stderr"));
        }
        command.addAll(List.of("-jar", daemon.toString(), "serve", "--config", sender.toString()));
        return List.copyOf(command);
    }

    private static List<Instance> instances(Settings s, Path base, Path folder, Path daemon) {
        int count = Math.max(s.whole("count"), s.whole("most"));
        InetSocketAddress first = s.address("listen");
        String pattern = s.text("names");
        if (count > 1 && !pattern.contains("%d")) {
            throw s.bad("names", "has no %d, so that all daemons would have one name");
        }
        if (first.getPort() == 0 || first.getPort() + count - 1 > 65_535) {
            throw s.bad("listen", "leaves no ports for " + count + " daemons");
        }
        InetSocketAddress peers = s.has("handover.listen") ? s.address("handover.listen") : null;
        if (peers != null && (peers.getPort() == 0 || peers.getPort() + count - 1 > 65_535)) {
            throw s.bad("handover.listen", "leaves no ports for " + count + " daemons");
        }
        Map<String, Settings> special = new HashMap<>();
        for (Settings row : s.tables("instance")) {
            if (special.put(row.text("name"), row) != null) {
                throw s.bad("instance.name", "is there twice: " + row.text("name"));
            }
        }
        List<Instance> out = new ArrayList<>();
        Map<String, String> taken = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String name = pattern.replace("%d", Integer.toString(i + 1));
            if (!name.matches("[A-Za-z0-9._-]{1,64}") || name.startsWith(".")) {
                throw s.bad("names", "makes no plain word: " + name);
            }
            Settings row = special.remove(name);
            String listen = text(
                    row != null && row.has("listen")
                            ? row.address("listen")
                            : new InetSocketAddress(first.getAddress(), first.getPort() + i));
            Path state = row != null && row.has("state")
                    ? base.resolve(row.text("state")).normalize()
                    : folder.resolve(name);
            Path sender = base.resolve(row != null && row.has("sender") ? row.text("sender") : s.text("sender"))
                    .normalize();
            long heap = row != null && row.bytes("heap") > 0 ? row.bytes("heap") : s.bytes("heap");
            String handOver = peers == null
                    ? null
                    : text(
                            row != null && row.has("handover")
                                    ? row.address("handover")
                                    : new InetSocketAddress(peers.getAddress(), peers.getPort() + i));
            List<Path> adopt = row == null
                    ? List.of()
                    : row.list("adopt").stream()
                            .map(f -> base.resolve(f).normalize())
                            .toList();
            Instance instance =
                    new Instance(name, listen, state, sender, command(s, daemon, sender, heap), handOver, adopt);
            if (handOver != null) {
                claim(s, taken, "handover.listen", "address " + handOver, name);
            }
            claim(s, taken, "names", "name " + name, name);
            claim(s, taken, "listen", "address " + listen, name);
            claim(s, taken, "instance.state", "state folder " + state, name);
            fits(s, instance.control());
            out.add(instance);
        }
        if (!special.isEmpty()) {
            throw s.bad(
                    "instance.name",
                    "is none of the daemons: " + special.keySet().iterator().next());
        }
        return List.copyOf(out);
    }

    private static void claim(Settings s, Map<String, String> taken, String key, String what, String name) {
        String other = taken.put(what, name);
        if (other != null) {
            throw s.bad(key, "gives " + what + " to both " + other + " and " + name);
        }
    }

    private static String text(InetSocketAddress address) {
        return (address.getAddress() instanceof java.net.Inet6Address
                        ? "[" + address.getAddress().getHostAddress() + "]"
                        : address.getAddress().getHostAddress())
                + ":" + address.getPort();
    }

    /** All daemons by name with where they listen for one another, as {@code GW_PEERS} has it; empty where they do not. */
    public String peers() {
        return instances.stream()
                .filter(i -> i.handoffAddress() != null)
                .map(i -> i.name() + "=" + i.handoffAddress())
                .collect(Collectors.joining(","));
    }

    /** The supervisor's own control socket. */
    public Path control() {
        return directory.resolve("fleet");
    }

    private static void fits(Settings s, Path socket) {
        if (socket.toString().getBytes(StandardCharsets.UTF_8).length > LONGEST_SOCKET_PATH) {
            throw s.bad("folder", "is too long a path: no Unix socket may have " + socket);
        }
    }

    /** A one-line summary for people. */
    public String summary() {
        return name + ": " + count + (instances.size() > count ? " to " + instances.size() : "") + " daemons, "
                + instances.get(0).listen() + " to "
                + instances.get(instances.size() - 1).listen() + ", sender file "
                + instances.get(0).sender() + ", state under " + directory
                + ", stop within " + Units.span(policy.stopTimeoutMillis() * 1_000);
    }
}
