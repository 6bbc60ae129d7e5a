package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.config.SenderConfig;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;

/** Small fakes of a sender's surroundings on loopback sockets: a receiver, discovery and clients. */
public final class SenderFixture implements Closeable {
    static final String ID = "9b1f03aa5c7e2d4";

    /** The three classes of {@link #environment} as a sender file outside the platform has them. */
    static final String CLASSES =
            """
            [[class]]
            name = "safe"
            effect = "safe"
            aim = "100ms"
            deadline = "20s"
            [[class]]
            name = "keyed"
            effect = "keyed"
            key_scope = "destination"
            in_order = true
            aim = "100ms"
            deadline = "20s"
            [[class]]
            name = "unsafe"
            effect = "unsafe"
            aim = "100ms"
            deadline = "20s"
            """;

    /** One request as a fake server read it. */
    record Request(String head, String body, Socket socket) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }

    /** Answers HTTP requests by a function; null leaves a request without an answer. */
    static final class Http implements Closeable {
        final List<Request> requests = new CopyOnWriteArrayList<>();
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile Function<Request, String> answers;
        /** Whether a new connection is served; any other is closed as it opens. */
        volatile Predicate<Socket> greet = s -> true;

        private final ServerSocket server;
        private final Thread accepting;

        Http(Function<Request, String> answers) throws IOException {
            this.answers = answers;
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            accepting = daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    if (!greet.test(socket)) {
                        socket.setSoLinger(true, 0);
                        socket.close();
                        continue;
                    }
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // The test is over.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String head = line(in, "\r\n\r\n");
                    int length = head.toLowerCase().contains("content-length:")
                            ? Integer.parseInt(new Request(head, "", socket).header("Content-Length"))
                            : 0;
                    String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
                    Request request = new Request(head, body, socket);
                    requests.add(request);
                    String answer = answers.apply(request);
                    if (answer != null) {
                        write(socket, answer);
                    }
                }
            } catch (IOException e) {
                // The other side has closed.
            }
        }

        /**
         * When this returns nobody is served any more. A thread that is about to be told of it still accepts what comes, as the
         * listening socket lives as long as a call on it does: on a busy machine that served a call that a test had to fail.
         */
        @Override
        public void close() throws IOException {
            server.close();
            try {
                accepting.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        private final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            this(port, 0);
        }

        /** Takes no more than about so many bytes ahead of what it reads, 0 for the usual. */
        Client(int port, int window) throws IOException {
            socket = new Socket();
            if (window > 0) {
                socket.setReceiveBufferSize(window);
            }
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setSoTimeout(10_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Waits no longer than this for each answer. */
        Client patience(long millis) throws IOException {
            socket.setSoTimeout((int) millis);
            return this;
        }

        String raw(String request) throws IOException {
            write(request);
            return answer();
        }

        void write(String text) throws IOException {
            SenderFixture.write(socket, text);
        }

        /** As {@link #ask}, for use in conditions. */
        String tryAsk(String... words) {
            try {
                return ask(words);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        String answer() throws IOException {
            return line(in, "\r\n");
        }

        String ask(String... words) throws IOException {
            return raw(command(words));
        }

        /** Hands in a message of a class with eight seconds to live, for destination 7. */
        String submit(String className, String id, String key) throws IOException {
            return submit(className, id, key, 8_000, 7);
        }

        String submit(String className, String id, String key, long time, int destination) throws IOException {
            return ask(
                    "SUBMIT",
                    key,
                    id,
                    "c=" + className + ",d=" + time + ",k=5c0f" + id + ",dest=" + destination,
                    "body of " + id);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    final Path folder;
    final Http receiver;
    final Http discovery;
    final List<String> notices = new CopyOnWriteArrayList<>();
    volatile Function<Request, String> noticeAnswers = r -> ok(204, "");
    /** A second discovery, for moves; null until a test makes one. */
    Http moved;

    private final List<Closeable> open = new ArrayList<>();
    int slots = 4;
    int openCap = 50;
    int perCall = 1;
    double diskMb = 3;
    int sockets = 256;
    long keepAlive = 15_000_000;
    /** Deadline of each class in microseconds. */
    long deadline = 20_000_000;

    int attempts = 12;
    /** The file's classes, each as JSON. */
    String lanes =
            """
            {"name":"safe","effect":"pure","importance":2,"goal_time_us":100000,"deadline_us":DEADLINE},
            {"name":"keyed","effect":"token","dedup_scope":"all","importance":1,"goal_time_us":100000,
             "deadline_us":DEADLINE,"key_ttl_us":5000000,"sequential":true},
            {"name":"unsafe","effect":"side_effect","importance":4,"goal_time_us":100000,"deadline_us":DEADLINE}""";
    /** Where the file says discovery is, if elsewhere. */
    String discoveryAddress;
    /** Whoever watches and has the list; nothing may be announced before it. */
    private volatile Socket watch;

    SenderFixture(Path folder) throws IOException {
        this.folder = folder;
        receiver = new Http(r -> ok(200, ""));
        discovery = new Http(this::discover);
        discoveryAddress = discovery.address();
        open.add(receiver);
        open.add(discovery);
    }

    private String discover(Request r) {
        if (r.head().startsWith("POST /status")) {
            r.body().lines().forEach(notices::add);
            return noticeAnswers.apply(r);
        }
        try {
            write(r.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(2, true, "Ready")));
            watch = r.socket();
        } catch (IOException e) {
            // The other side has closed.
        }
        return null;
    }

    /** Another discovery with the list of this version; the file names it from then on. */
    void moveDiscovery(int version, String state) throws IOException {
        moved = new Http(r -> {
            if (r.head().startsWith("POST /status")) {
                r.body().lines().forEach(notices::add);
                return ok(204, "");
            }
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(version, true, state));
        });
        open.add(moved);
        discoveryAddress = moved.address();
        environment();
    }

    boolean watched() {
        return watch != null;
    }

    /** Closes the watch that has the list. */
    void endWatch() throws IOException {
        await(() -> watch != null);
        watch.close();
        watch = null;
    }

    /** A line to whoever watches. */
    void announce(String line) throws IOException {
        await(() -> watch != null);
        write(watch, chunk(line));
    }

    /** One receiver for destination 7 in this state, and one for 8 that wants nothing new. */
    String list(int version, boolean all, String state) {
        return list(version, all, state, "s-1");
    }

    String list(int version, boolean all, String state, String uid) {
        return "{\"rev\":" + version + ",\"all\":" + all + ",\"targets\":[{\"uid\":\"" + uid + "\",\"endpoint\":\""
                + receiver.address() + "\",\"az\":\"a\",\"model\":\"std\",\"pod_group\":7,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0},{\"uid\":\"s-8\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\","
                + "\"model\":\"std\",\"pod_group\":8,\"state\":\"Terminating\"}]}\n";
    }

    Sender start() throws IOException {
        return Sender.start(SenderConfig.read(environment()));
    }

    Map<String, String> environment() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%1$s","ops":"127.0.0.1:0","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%10$d,"disk_mb":%2$s},"known":%3$s,
                 "settings":{"balancers":1,"az":0,"tick_us":5000,"membership_mode":"pushed",
                  "kinds":["std"],"zones":["a"],"reporting":{"how":"inline","names":["x0","x1"]},
                  "family_info":{"calls_out":%5$d,"late":"even","per_call":[%6$d],"routes_apart":[false]},
                  "allowed":{"open_cap":%7$d,"max_attempts":%9$d,"parallel_tries":false,"cancel":true,
                   "retry_after":true,"max_retry_after_us":3000000,"streams_per_conn":1,
                   "keepalive_us":%8$d,"connect_timeout_us":1000000},
                  "rules":{"answer_slack_us":20000,"ask_within_us":10000000,"start_capacity":0.13,
                   "cold_us":14000000,"fall_multiple":2.5,"fall_us":1500000,"settle_after_doubt_us":100000},
                  "lanes":[%4$s]}}
                """
                        .formatted(
                                discoveryAddress,
                                diskMb,
                                list(1, true, "Ready"),
                                lanes.replace("DEADLINE", Long.toString(deadline)),
                                slots,
                                perCall,
                                openCap,
                                keepAlive,
                                attempts,
                                sockets));
        return Map.of(
                "GW_CONFIG",
                file.toString(),
                "GW_STATE",
                folder.resolve("state").toString());
    }

    /**
     * The file of a daemon that takes part in handoffs, with these peers. Its classes allow for 600 s, as a call is silent only after a
     * 16th of the longest.
     */
    SenderConfig handoffConfig(String name, String peers, int openMessages) throws IOException {
        Files.writeString(folder.resolve("endpoints.json"), list(1, true, "Ready"));
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                """
                name = "%1$s"
                listen = "127.0.0.1:0"
                state = "%1$s"
                endpoints = "endpoints.json"
                notices = "%2$s"
                [handover]
                listen = "127.0.0.1:0"
                peers = [%3$s]
                [limits]
                slots = 4
                open_messages = %4$d
                descriptors = 256
                """
                                .formatted(name, discovery.address(), peers, openMessages)
                        + CLASSES.replace("deadline = \"20s\"", "deadline = \"600s\""));
        return SenderConfig.read(Map.of("GW_CONFIG", file.toString()));
    }

    Client client(Sender sender) throws IOException {
        Client client = new Client(sender.address().getPort());
        open.add(client);
        return client;
    }

    /** Lets one message through, so that the sender knows the receiver to answer, and forgets the call. */
    void prove(Sender sender, Client client) throws IOException {
        assertEquals("+OK", client.submit("safe", ID + "0", "0000000000000000"));
        await(() -> sender.pendingMessageCount() == 0);
        receiver.requests.clear();
    }

    /** As {@link #client}, for use in conditions. */
    Client tryClient(Sender sender) {
        try {
            return client(sender);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (Closeable item : open) {
            item.close();
        }
    }

    static String ok(int status, String body, String... headers) {
        StringBuilder answer = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            answer.append(header).append("\r\n");
        }
        return answer + (status == 204 ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    static String command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    /** Waits for a condition; the bound only keeps a failing test from hanging. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        assertTrue(condition.getAsBoolean(), "waited in vain");
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Ends with an EOFException or a SocketException where no byte of the line came, any other where it was cut short. */
    private static String line(InputStream in, String end) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b;
            try {
                b = in.read();
            } catch (SocketException e) {
                throw bytes.size() == 0 ? e : new IOException("cut behind " + bytes);
            }
            if (b < 0) {
                throw bytes.size() == 0 ? new EOFException("closed") : new IOException("cut behind " + bytes);
            }
            bytes.write(b);
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith(end)) {
                return text.substring(0, text.length() - end.length());
            }
        }
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
