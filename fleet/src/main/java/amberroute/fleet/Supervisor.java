package amberroute.fleet;

import amberroute.config.ConfigException;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

/**
 * Carries out what {@link SupervisionPolicy} decides, on one thread that looks round every {@value #LOOK_MS} ms: starts and
 * ends processes, asks daemons how they are, bounds their logs and answers the fleet's control socket.
 *
 * <p>It leaves nothing behind that could mislead the next one: that a daemon lives is told by the lock on its state
 * folder, which the kernel frees with the process. A supervisor that was killed leaves its daemons running; the next one
 * finds the locks held and takes them over. Only one supervisor can hold a fleet's folder.
 */
public final class Supervisor implements AutoCloseable {
    /** What {@link #run} answers where a stop for good could not end all that was held. */
    public static final int LEFT_OVER = 3;

    private static final long LOOK_MS = 20;
    private static final long STATUS_MS = 100;
    private static final long LOCK_MS = 100;
    private static final long LOGS_MS = 1_000;
    private static final int MOST_CLIENTS = 16;
    private static final int LONGEST_REQUEST = 16_384;
    private static final long CLIENT_MS = 60_000;

    private final FleetDefinition definition;
    private final SupervisionPolicy supervision;
    private final PrintStream log;
    private final List<ManagedDaemon> places = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final FileChannel lockFile;
    private final ServerSocketChannel control;
    private final AtomicReference<SupervisionPolicy.Mode> stopAsked = new AtomicReference<>();
    private volatile boolean reloadAsked;
    private Runnable whenReady;
    private long looked;
    private long logsBounded;

    /** One daemon's process, its own child or one that was found. */
    /** In the fleet's folder: how many daemons are wanted. */
    private static final String SCALE = "scale";
    /** In a state folder: its daemon has left for good and owes nothing. */
    private static final String LEFT = "left";
    /** In the fleet's folder: where each daemon runs, a JSON object a line. */
    private static final String PLACES = "places";
    /** Folders that one daemon takes over: one for each that a fleet may have. */
    private static final int MOST_ADOPTED = 4_096;

    private static final class ManagedDaemon {
        final FleetDefinition.Instance instance;
        Process child;
        /** Of a process that was found: its id as the lock file tells, 0 where it tells none. */
        long foundPid;

        boolean found;
        long lockLooked;
        /** Where its process is, or will be from its next start on. */
        Path state;

        DaemonLink link;
        /** Folders that its next process takes over: those that the definition names, and one that it had before. */
        final Set<Path> adopt = new LinkedHashSet<>();
        /** It runs as an earlier definition had it, and is restarted for that. */
        boolean changed;

        ManagedDaemon(FleetDefinition.Instance instance) {
            this.instance = instance;
            adopt.addAll(instance.adopt());
            at(instance.state());
        }

        /** The newest first, as those are taken over first. */
        void left(Path folder) {
            List<Path> before = List.copyOf(adopt);
            adopt.clear();
            adopt.add(folder);
            before.stream().limit(MOST_ADOPTED).forEach(adopt::add);
        }

        void at(Path folder) {
            state = folder;
            link = new DaemonLink(folder.resolve("control"));
        }

        long pid() {
            return child != null ? child.pid() : found ? foundPid : 0;
        }
    }

    /** One connection to the fleet's control socket. */
    private static final class Client {
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(LONGEST_REQUEST);
        ByteBuffer out;
        final long since = System.nanoTime();

        Client(SocketChannel channel) {
            this.channel = channel;
        }
    }

    /** Takes the fleet's folder; fails where another supervisor has it. Lines for people go to {@code log}. */
    public Supervisor(FleetDefinition definition, PrintStream log) throws IOException {
        this.definition = definition;
        this.log = log;
        Path folder = definition.folder();
        Files.createDirectories(folder);
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        lockFile = FileChannel.open(folder.resolve("fleet.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (tryLock(lockFile) == null) {
            lockFile.close();
            throw new ConfigException(folder + " is held by another supervisor");
        }
        definition.instances().forEach(i -> places.add(new ManagedDaemon(i)));
        readPlaces();
        supervision = new SupervisionPolicy(
                definition.policy(),
                definition.instances().stream()
                        .map(FleetDefinition.Instance::name)
                        .toList(),
                scale(folder.resolve(SCALE)),
                new ProcessController());
        Files.deleteIfExists(definition.control());
        control = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        control.bind(UnixDomainSocketAddress.of(definition.control()));
        Files.setPosixFilePermissions(definition.control(), PosixFilePermissions.fromString("rw-------"));
        control.configureBlocking(false);
        takeOver();
    }

    /** How many daemons were wanted last; the definition's count where nobody has asked for another number. */
    private int scale(Path file) throws IOException {
        String told = Files.exists(file) ? Files.readString(file).strip() : "";
        int wanted = told.matches("[0-9]{1,6}") ? Integer.parseInt(told) : definition.count();
        return Math.min(wanted, places.size());
    }

    /** Written before anything is done for it, so that a supervisor that is killed meanwhile goes on with it. */
    private String scaleTo(int wanted) {
        String refused = supervision.mayScale(wanted);
        if (refused != null) {
            return refused;
        }
        Path file = definition.folder().resolve(SCALE);
        try {
            Path aside = file.resolveSibling(SCALE + ".new");
            Files.writeString(aside, wanted + "\n");
            Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            return "the number cannot be kept: " + e;
        }
        supervision.scale(now(), wanted);
        return null;
    }

    /**
     * Where each daemon ran last. One that has another folder by now takes over the one it had; one that still runs as it
     * was before is restarted, so that it comes up as the definition has it.
     */
    private void readPlaces() throws IOException {
        Path file = definition.folder().resolve(PLACES);
        if (!Files.exists(file)) {
            return;
        }
        for (String line : Files.readAllLines(file)) {
            JsonObject told;
            try {
                told = JsonParser.parseString(line).getAsJsonObject();
                for (ManagedDaemon place : places) {
                    if (place.instance.name().equals(told.get("name").getAsString())) {
                        Path state = Path.of(told.get("state").getAsString());
                        if (!state.equals(place.state)) {
                            place.at(state);
                            place.changed = true;
                        }
                        told.getAsJsonArray("adopt").forEach(f -> place.adopt.add(Path.of(f.getAsString())));
                        place.changed |= !told.get("listen").getAsString().equals(place.instance.listen());
                    }
                }
            } catch (RuntimeException e) {
                throw new ConfigException(
                        file + ": cannot be read: remove it if all daemons run as the definition has them");
            }
        }
    }

    /** Written before a process is started elsewhere, so that a supervisor that is killed meanwhile goes on with it. */
    private void keepPlaces() throws IOException {
        StringBuilder text = new StringBuilder();
        for (ManagedDaemon place : places) {
            JsonObject line = new JsonObject();
            line.addProperty("name", place.instance.name());
            line.addProperty("listen", place.instance.listen());
            line.addProperty("state", place.state.toString());
            JsonArray adopt = new JsonArray();
            place.adopt.forEach(folder -> adopt.add(folder.toString()));
            line.add("adopt", adopt);
            text.append(line).append('\n');
        }
        Path file = definition.folder().resolve(PLACES);
        Path aside = file.resolveSibling(PLACES + ".new");
        Files.writeString(aside, text);
        Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Who is out: no client finds those, so whoever leaves need not wait for their word. */
    private JsonArray absent() {
        JsonArray names = new JsonArray();
        for (int i = 0; i < places.size(); i++) {
            if (supervision.state(i) == SupervisionPolicy.State.OUT) {
                names.add(places.get(i).instance.name());
            }
        }
        return names;
    }

    private static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (java.nio.channels.OverlappingFileLockException e) {
            return null;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void takeOver() throws IOException {
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < places.size(); i++) {
            ManagedDaemon place = places.get(i);
            Files.createDirectories(place.instance.state());
            Files.setPosixFilePermissions(place.instance.state(), PosixFilePermissions.fromString("rwx------"));
            if (lockHeld(place)) {
                place.found = true;
                supervision.found(now(), i);
                if (place.changed) {
                    changed.add(place.instance.name());
                }
            } else if (!Files.exists(place.instance.state().resolve("journal"))
                    || Files.exists(place.instance.state().resolve(LEFT))) {
                supervision.owesNothing(i);
            }
        }
        if (!changed.isEmpty()) {
            supervision.restart(now(), changed);
        }
    }

    /** Whether a process holds the state folder; only this supervisor starts any, so a free lock stays free. */
    private static boolean lockHeld(ManagedDaemon place) {
        Path file = place.state.resolve("lock");
        if (!Files.exists(file)) {
            return false;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            FileLock lock = tryLock(channel);
            if (lock != null) {
                return false;
            }
            String pid = Files.readString(file).lines().findFirst().orElse("");
            place.foundPid = pid.matches("[0-9]{1,18}") ? Long.parseLong(pid) : 0;
            return true;
        } catch (IOException e) {
            // Not to be told: a second process on the folder would end at the lock itself.
            return false;
        }
    }

    /** Serves until the fleet has been stopped; 0 where all went well, 3 where a stop for good left something behind. */
    public int run() throws InterruptedException {
        while (!supervision.over()) {
            look();
            Thread.sleep(LOOK_MS);
        }
        answerClients();
        log.println("the fleet has stopped");
        return supervision.leftOver() ? LEFT_OVER : 0;
    }

    /** Asks for a stop of the whole fleet, from any thread. */
    public void stop(SupervisionPolicy.Mode mode) {
        stopAsked.set(mode);
    }

    /** Is called once, on the supervisor's thread, when all daemons are ready for the first time. */
    public void whenReady(Runnable listener) {
        whenReady = listener;
    }

    /** Asks all daemons to read their files again, from any thread. */
    public void reload() {
        reloadAsked = true;
    }

    private void look() {
        long now = now();
        SupervisionPolicy.Mode mode = stopAsked.getAndSet(null);
        if (mode != null) {
            supervision.stop(now, mode);
        }
        if (reloadAsked) {
            reloadAsked = false;
            supervision.reload(now);
        }
        for (int i = 0; i < places.size(); i++) {
            seeEnd(now, i);
        }
        if (now - looked >= STATUS_MS) {
            looked = now;
            for (int i = 0; i < places.size(); i++) {
                seeStatus(now, i);
            }
        }
        if (now - logsBounded >= LOGS_MS) {
            logsBounded = now;
            places.forEach(p -> LogFile.bound(logOf(p.instance), definition.logBytes()));
        }
        supervision.tick(now);
        if (whenReady != null && supervision.allReady()) {
            whenReady.run();
            whenReady = null;
        }
        answerClients();
    }

    private void seeEnd(long now, int i) {
        ManagedDaemon place = places.get(i);
        if (place.child != null && !place.child.isAlive()) {
            int code = place.child.exitValue();
            place.child = null;
            place.link.reset();
            supervision.ended(now, i, code == 0, code > 128 ? "signal " + (code - 128) : "exit code " + code);
        } else if (place.found && now - place.lockLooked >= LOCK_MS) {
            place.lockLooked = now;
            if (!lockHeld(place)) {
                place.found = false;
                place.link.reset();
                supervision.ended(now, i, false, "an end that nobody saw");
            }
        }
    }

    private void seeStatus(long now, int i) {
        ManagedDaemon place = places.get(i);
        if (place.child == null && !place.found || !place.link.look()) {
            return;
        }
        switch (place.link.last().get("state").getAsString()) {
            case "ready" -> supervision.ready(now, i);
            case "draining" -> supervision.draining(now, i);
            default -> {}
        }
    }

    private Path logOf(FleetDefinition.Instance instance) {
        return definition.folder().resolve(instance.name() + ".log");
    }

    /** How {@link SupervisionPolicy} reaches the world. */
    private final class ProcessController implements SupervisionPolicy.DaemonController {
        @Override
        public void start(int daemon) {
            ManagedDaemon place = places.get(daemon);
            place.link.reset();
            try {
                if (!place.state.equals(place.instance.state())) {
                    place.left(place.state);
                    place.at(place.instance.state());
                }
                place.changed = false;
                keepPlaces();
                Files.deleteIfExists(place.instance.state().resolve(LEFT));
            } catch (IOException e) {
                say(place.instance.name() + " cannot be started: " + e.getMessage());
                supervision.ended(now(), daemon, false, "no process");
                return;
            }
            if (lockHeld(place)) {
                // Started by a supervisor that was killed before the daemon had its lock, or by hand.
                place.found = true;
                say(place.instance.name() + " is alive already and taken over");
                return;
            }
            ProcessBuilder builder = new ProcessBuilder(place.instance.command());
            builder.environment().put("GW_NAME", place.instance.name());
            builder.environment().put("GW_LISTEN", place.instance.listen());
            builder.environment().put("GW_STATE", place.instance.state().toString());
            place.adopt.remove(place.state);
            if (!place.adopt.isEmpty()) {
                builder.environment()
                        .put(
                                "GW_ADOPT",
                                place.adopt.stream()
                                        .filter(Files::isDirectory)
                                        .map(Path::toString)
                                        .collect(Collectors.joining(":")));
            }
            if (place.instance.handOver() != null) {
                builder.environment().put("GW_HANDOVER", place.instance.handOver());
                builder.environment().put("GW_PEERS", definition.peers());
                if (definition.gentle()) {
                    builder.environment().put("GW_GENTLE", "true");
                }
            }
            builder.environment().remove("GW_CONFIG");
            builder.environment().remove("NOTIFY_SOCKET");
            builder.redirectInput(
                    ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            logOf(place.instance).toFile()));
            try {
                place.child = builder.start();
            } catch (IOException e) {
                say(place.instance.name() + " cannot be started: " + e.getMessage());
                supervision.ended(now(), daemon, false, "no process");
            }
        }

        @Override
        public void stop(int daemon, SupervisionPolicy.Mode mode, long within) {
            ManagedDaemon place = places.get(daemon);
            JsonObject command = new JsonObject();
            command.addProperty("do", "stop");
            command.addProperty("mode", mode.name().toLowerCase(Locale.ROOT));
            command.addProperty("within_ms", within);
            // As it is now: an old word, kept by a daemon, might name one that is back by the time it leaves.
            command.add("absent", absent());
            if (!place.link.send(command) && place.child != null) {
                // It does not listen yet, or no more: the signal says the same, but for the mode.
                place.child.destroy();
            }
        }

        @Override
        public void left(int daemon) {
            try {
                Files.writeString(places.get(daemon).instance.state().resolve(LEFT), "");
            } catch (IOException e) {
                // It is only started and stopped once more by the next supervisor.
                say(places.get(daemon).instance.name() + ": " + e.getMessage());
            }
        }

        @Override
        public void kill(int daemon) {
            ManagedDaemon place = places.get(daemon);
            if (place.child != null) {
                place.child.destroyForcibly();
            } else if (place.found && place.foundPid > 0 && lockHeld(place)) {
                ProcessHandle.of(place.foundPid).ifPresent(ProcessHandle::destroyForcibly);
            }
        }

        @Override
        public void reload(int daemon) {
            JsonObject command = new JsonObject();
            command.addProperty("do", "reload");
            places.get(daemon).link.send(command);
        }

        @Override
        public void say(String text) {
            log.println(text.replaceAll("\\p{Cntrl}", "?"));
        }
    }

    // ---- The control socket. ----

    private void answerClients() {
        try {
            for (SocketChannel fresh = control.accept(); fresh != null; fresh = control.accept()) {
                if (clients.size() >= MOST_CLIENTS) {
                    fresh.close();
                    continue;
                }
                fresh.configureBlocking(false);
                clients.add(new Client(fresh));
            }
        } catch (IOException e) {
            // No descriptor left, say: tried again at the next look.
        }
        clients.removeIf(client -> !serve(client));
    }

    /** False where the connection is over. */
    private boolean serve(Client client) {
        try {
            if (System.nanoTime() - client.since > CLIENT_MS * 1_000_000) {
                client.channel.close();
                return false;
            }
            if (client.out == null) {
                int n = client.channel.read(client.in);
                boolean whole = client.in.position() > 0 && client.in.get(client.in.position() - 1) == '\n';
                if (!whole && (n < 0 || !client.in.hasRemaining())) {
                    client.channel.close();
                    return false;
                }
                if (!whole) {
                    return true;
                }
                String line = new String(client.in.array(), 0, client.in.position(), StandardCharsets.UTF_8);
                client.out = ByteBuffer.wrap((answer(line) + "\n").getBytes(StandardCharsets.UTF_8));
            }
            client.channel.write(client.out);
            if (!client.out.hasRemaining()) {
                client.channel.close();
                return false;
            }
            return true;
        } catch (IOException e) {
            closeQuietly(client.channel);
            return false;
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // It is given up either way.
        }
    }

    private JsonObject answer(String line) {
        JsonObject answer = new JsonObject();
        String error;
        try {
            JsonObject request = JsonParser.parseString(line).getAsJsonObject();
            error = switch (request.get("do").getAsString()) {
                case "status" -> null;
                case "restart" -> {
                    List<String> names = new ArrayList<>();
                    if (request.has("names")) {
                        request.getAsJsonArray("names").forEach(n -> names.add(n.getAsString()));
                    }
                    yield supervision.restart(now(), names);
                }
                case "reload" -> supervision.reload(now());
                case "scale" -> scaleTo(request.get("to").getAsInt());
                case "stop" -> supervision.stop(
                        now(),
                        request.has("final") && request.get("final").getAsBoolean()
                                ? SupervisionPolicy.Mode.FINAL
                                : SupervisionPolicy.Mode.RESTART);
                default -> "no such command";
            };
        } catch (RuntimeException e) {
            error = "no request that can be read";
        }
        answer.addProperty("ok", error == null);
        if (error != null) {
            answer.addProperty("error", error);
        }
        status(answer);
        return answer;
    }

    private void status(JsonObject answer) {
        answer.addProperty("fleet", definition.name());
        answer.addProperty("ready", supervision.allReady());
        answer.addProperty("stopping", supervision.ending());
        answer.addProperty("rolling", supervision.rollingState());
        answer.addProperty("wanted", supervision.wanted());
        answer.addProperty("scaled", supervision.scaled());
        JsonArray daemons = new JsonArray();
        for (int i = 0; i < places.size(); i++) {
            ManagedDaemon place = places.get(i);
            JsonObject d = new JsonObject();
            d.addProperty("name", place.instance.name());
            d.addProperty("state", supervision.state(i).name().toLowerCase(java.util.Locale.ROOT));
            d.addProperty("for_ms", supervision.age(now(), i));
            d.addProperty("pid", place.pid());
            d.addProperty("starts", supervision.starts(i));
            d.addProperty("listen", place.instance.listen());
            JsonObject last = place.link.last();
            if (last != null) {
                for (String key : List.of("held", "notices", "calls", "clients")) {
                    if (last.has(key)) {
                        d.add(key, last.get(key));
                    }
                }
            }
            daemons.add(d);
        }
        answer.add("daemons", daemons);
    }

    /** Frees the folder and the control socket; daemons that still run go on. */
    @Override
    public void close() throws IOException {
        for (Client client : clients) {
            client.channel.close();
        }
        control.close();
        Files.deleteIfExists(definition.control());
        lockFile.close();
    }
}
