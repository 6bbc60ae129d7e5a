import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What the cases share: the record, the platform, receivers, clients and the sender's processes, all on loopback. */
final class Stage {
    private Stage() {}

    private static final long START_NANOS = System.nanoTime();
    private static BufferedWriter record;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static final List<Path> FOLDERS = new CopyOnWriteArrayList<>();

    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    /** Begins the record, and sees to it that all processes and folders are gone at the end. */
    static void begin(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        Runtime.getRuntime().addShutdownHook(new Thread(Stage::clear));
        // An exception must not read as a broken rule.
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            log("the case could not run: " + e);
            e.printStackTrace();
            System.exit(2);
        });
        Thread limit = new Thread(() -> {
            sleep(115_000);
            log("the case has taken too long");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
    }

    static synchronized void log(String text) {
        try {
            record.write(String.format("%7.3f %s%n", now() / 1000.0, text));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void clear() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        FOLDERS.forEach(Stage::delete);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("left behind: " + folder);
        }
    }

    static Path folder(String name) throws IOException {
        Path folder = Files.createTempDirectory("review-" + name);
        FOLDERS.add(folder);
        return folder;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static void signal(String name, long pid) throws Exception {
        log("signal " + name + " to process " + pid);
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).inheritIO().start().waitFor();
    }

    // ---- Processes. ----

    /** The key {@code run} of deploy/balancer.toml. */
    static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new IOException("no key run in deploy/balancer.toml");
    }

    /** Starts a command by a shell from the root; its output goes to a file that is named in the record if it fails. */
    static Process start(Path root, String command, Map<String, String> environment, Path output) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        PROCESSES.add(process);
        log("process " + process.pid() + " started");
        return process;
    }

    /** Waits until the sender answers PING; false where it ends or needs more than 30 s. */
    static boolean awaitReady(Process process, InetSocketAddress address) {
        long end = now() + 30_000;
        while (now() < end && process.isAlive()) {
            try (Client client = new Client(address, 1_000)) {
                if (client.ask("PING").startsWith("+")) {
                    log("process " + process.pid() + " is ready");
                    return true;
                }
            } catch (IOException e) {
                sleep(20);
            }
        }
        log("process " + process.pid() + " does not get ready");
        return false;
    }

    // ---- Clients. ----

    /** One connection that speaks RESP2. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(InetSocketAddress address, int timeoutMillis) throws IOException {
            socket.connect(address, timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            in = socket.getInputStream();
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        String read() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new EOFException("closed");
                }
                line.append((char) c);
            }
            return line.toString().strip();
        }

        String ask(String... words) throws IOException {
            byte[][] bytes = new byte[words.length][];
            for (int i = 0; i < words.length; i++) {
                bytes[i] = words[i].getBytes(StandardCharsets.ISO_8859_1);
            }
            write(command(bytes));
            return read();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone.
            }
        }
    }

    static byte[] command(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (byte[] word : words) {
            out.writeBytes(("$" + word.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(word);
            out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return out.toByteArray();
    }

    static byte[] submit(String key, String id, String options, byte[] body) {
        return command(text("SUBMIT"), text(key), text(id), text(options), body);
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- HTTP. ----

    /** A request or an answer: its first line, headers in small letters, and body. */
    record Message(String first, Map<String, String> headers, String body) {}

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }

    static Message readMessage(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Accepts connections; each is served on a thread of its own. */
    static ServerSocket serve(String address, int port, Consumer<Socket> connection) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(address), port), 128);
        Thread thread = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread one = new Thread(() -> {
                        try (socket) {
                            connection.accept(socket);
                        } catch (IOException e) {
                            // The other side has closed it.
                        }
                    });
                    one.setDaemon(true);
                    one.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    // ---- Platform. ----

    /** Discovery and the address for notices. The list is changed by {@link #change}; watches get what has changed. */
    static final class Platform {
        final ServerSocket server;
        final Map<String, List<String>> notices = new ConcurrentHashMap<>();
        /** When the first notice of a message came, in ms of the record. */
        final Map<String, Long> noticedAt = new ConcurrentHashMap<>();
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int version = 1;

        Platform() throws IOException {
            server = Stage.serve("127.0.0.1", 0, this::serve);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Lists a receiver, or changes its entry. */
        synchronized void change(String uid, String endpoint, String zone, String kind, int destination, String state) {
            version++;
            changedAt.put(uid, version);
            entries.put(
                    uid,
                    String.format(
                            "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"%s\",\"model\":\"%s\",\"pod_group\":%d,"
                                    + "\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}",
                            uid, endpoint, zone, kind, destination, state));
            log("discovery: " + entries.get(uid));
            notifyAll();
        }

        synchronized String list(int since) {
            List<String> items = new ArrayList<>();
            entries.forEach((uid, entry) -> {
                if (changedAt.get(uid) > since && (since > 0 || !entry.contains("\"Gone\""))) {
                    items.add(entry);
                }
            });
            return "{\"rev\":" + version + ",\"all\":" + (since <= 0) + ",\"targets\":[" + String.join(",", items)
                    + "]}";
        }

        private void serve(Socket socket) {
            try {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = readMessage(in);
                    if (request.first().startsWith("POST /status")) {
                        for (String line : request.body().split("\n")) {
                            notice(line);
                        }
                        out.write(text("HTTP/1.1 204 No Content\r\n\r\n"));
                    } else if (request.first().contains("follow=1")) {
                        String since = request.first().replaceAll(".*since=(\\d+).*", "$1");
                        watch(out, Integer.parseInt(since));
                        return;
                    } else {
                        String list = list(0);
                        out.write(text("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                    }
                    out.flush();
                }
            } catch (IOException e) {
                // The sender has closed it.
            }
        }

        private void notice(String line) {
            log("notice: " + line);
            String id = line.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
            String state = line.replaceAll(".*\"state\":\"([^\"]*)\".*", "$1");
            noticedAt.putIfAbsent(id, now());
            notices.computeIfAbsent(id, none -> new CopyOnWriteArrayList<>()).add(state);
        }

        private void watch(OutputStream out, int since) throws IOException {
            out.write(text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int sent = since;
            chunk(out, list(sent) + "\n");
            sent = version();
            while (true) {
                synchronized (this) {
                    if (version == sent) {
                        try {
                            wait(2_000);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }
                int current = version();
                chunk(out, current == sent ? "\n" : list(sent) + "\n");
                sent = current;
            }
        }

        private synchronized int version() {
            return version;
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(Stage.text(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }
    }

    // ---- Receivers. ----

    /** What a receiver does with one call with one message: whether it runs, and what is answered, null for nothing at all. */
    interface Behaviour {
        String answer(String id, String key, Receiver receiver);
    }

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    static final String SHUT = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /** A receiver that takes one message in a call. */
    static final class Receiver {
        final String name;
        final ServerSocket server;
        volatile Behaviour behaviour;

        Receiver(String name, Behaviour behaviour) throws IOException {
            this.name = name;
            this.behaviour = behaviour;
            server = Stage.serve("127.0.0.1", 0, this::serve);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket) {
            try {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = readMessage(in);
                    String id = request.headers().get("x-request-id");
                    String key = request.headers().getOrDefault("idempotency-key", "-");
                    String answer = behaviour.answer(id, key, this);
                    if (answer == null) {
                        in.readAllBytes();
                        return;
                    }
                    out.write(text(answer));
                    out.flush();
                }
            } catch (IOException e) {
                // The sender has closed it.
            }
        }
    }

    // ---- A sender on the platform. ----

    /** Settings as the protocol's pages show them, with the given classes; a class: name, effect, deadline_ms, extra. */
    static String settings(int openCap, int slots, String zones, String... lanes) {
        return "{\"allowed\":{\"cancel\":true,\"connect_timeout_us\":1000000,\"cpu_us_per_request\":0.0,"
                + "\"cpu_us_per_s\":750000,\"keepalive_us\":15000000,\"max_attempts\":12,\"max_retry_after_us\":3000000,"
                + "\"may_probe\":false,\"open_cap\":" + openCap + ",\"parallel_tries\":false,\"peers\":false,"
                + "\"retry_after\":true,\"streams_per_conn\":1},\"az\":0,\"balancers\":2,"
                + "\"callers\":{\"marks_retry\":false},\"family\":\"deliver\",\"family_info\":{\"calls_out\":" + slots
                + ",\"late\":\"even\",\"per_call\":[1],\"report_x0\":\"share\",\"report_x1\":\"calls\","
                + "\"routes_apart\":[false],\"toll\":0.0,\"turned_away_price\":0.03},\"kinds\":[\"partner\"],\"lanes\":["
                + String.join(",", lanes) + "],\"layers\":[\"partner-systems\"],\"membership_mode\":\"pushed\","
                + "\"over_share_worth\":0.1,\"parties\":[],\"prices\":{\"connection\":0.0,\"cross_zone\":0.0,"
                + "\"handshake\":0.06,\"late_fail\":0.03,\"probe\":0.0,\"waste\":0.03},\"reporting\":{\"how\":\"inline\","
                + "\"names\":[\"x0\",\"x1\"]},\"rules\":{\"answer_slack_us\":20000,\"ask_within_us\":10000000,"
                + "\"cold_us\":14000000,\"drain_grace_us\":250000,\"fall_multiple\":2.5,\"fall_us\":1500000,"
                + "\"settle_after_doubt_us\":100000,\"start_capacity\":0.13},\"slot_no\":0,\"tick_us\":5000,\"tier\":0,"
                + "\"value_by\":\"request\",\"weight_kind\":\"off\",\"zones\":[" + zones + "]}";
    }

    static String lane(String name, String effect, String scope, long deadlineMillis, long keyLifeMillis) {
        return "{\"deadline_us\":" + deadlineMillis * 1000 + ",\"dedup_scope\":\"" + scope + "\",\"effect\":\"" + effect
                + "\",\"goal_time_us\":2500000,\"importance\":2.0,\"key_ttl_us\":" + keyLifeMillis * 1000
                + ",\"late_share\":0.5,\"name\":\"" + name + "\",\"stream\":false}";
    }

    /** The configuration file of a sender. */
    static String config(
            String name, int port, Platform platform, String limits, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + platform.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits + ",\"known\":" + platform.list(0)
                + ",\"settings\":" + settings + "}";
    }

    static Map<String, String> environment(String name, int port, Platform platform, Path state, Path config, Path tmp) {
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("GW_NAME", name);
        environment.put("GW_LISTEN", "127.0.0.1:" + port);
        environment.put("GW_DISCOVERY", platform.address());
        environment.put("GW_STATE", state.toString());
        environment.put("GW_CONFIG", config.toString());
        environment.put("TMPDIR", tmp.toString());
        return environment;
    }
}
