package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many clients that send many commands at once, against a process with the limits of the deploy file: what was accepted before gets its
 * notice in time, and the process lives.
 */
class PipeliningClientsTest {
    private static final String NO_KEY = "0000000000000000";
    private static final int DESCRIPTORS = 1_024;
    private static final int ACCEPTED_BEFORE = 24;
    private static final long TIME_LEFT_MS = 2_500;
    /** A message without its end by then is lost: half a second, and the 50 ms by which each limit is longer. */
    private static final long LOST_BEHIND_DEADLINE_MS = 550;
    /** Longest value that a command may have is 64 KiB. */
    private static final int LARGE_COMMANDS = 32;

    private static final byte[] LARGE_BODY = new byte[65_000];

    @TempDir
    Path folder;

    private SenderFixture world;
    private SenderProcess process;
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> noticeNanos = new ConcurrentHashMap<>();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean ended;

    @BeforeEach
    void start() throws Exception {
        world = new SenderFixture(folder);
        world.sockets = DESCRIPTORS;
        world.openCap = 400;
        // Messages end by notices.
        world.receiver.answers = request -> null;
        world.noticeAnswers = request -> {
            sentNanos.keySet().stream()
                    .filter(id -> request.body().contains("\"" + id + "\""))
                    .forEach(id -> noticeNanos.putIfAbsent(id, System.nanoTime()));
            return SenderFixture.ok(204, "");
        };
        process = SenderProcess.begin(
                world.environment(),
                folder.resolve("log"),
                DESCRIPTORS,
                SenderProcess.command(SenderProcess.deployedOptions()));
        await(process::ready);
    }

    @AfterEach
    void end() throws Exception {
        ended = true;
        process.close();
        for (Thread client : clients) {
            client.join();
        }
        world.close();
    }

    private void acceptMessages() throws IOException {
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            for (int i = 0; i < ACCEPTED_BEFORE; i++) {
                String id = "before" + i;
                assertEquals("+OK", client.submit("unsafe", id, NO_KEY, TIME_LEFT_MS, 7));
                sentNanos.put(id, System.nanoTime());
            }
        }
    }

    private void assertNoticesInTime() {
        await(() -> noticeNanos.size() == ACCEPTED_BEFORE);
        long latestMillis = sentNanos.entrySet().stream()
                .mapToLong(sent -> (noticeNanos.get(sent.getKey()) - sent.getValue()) / 1_000_000 - TIME_LEFT_MS)
                .max()
                .orElseThrow();
        assertTrue(
                latestMillis <= LOST_BEHIND_DEADLINE_MS, "a notice came " + latestMillis + " ms behind its deadline");
        assertTrue(process.alive(), "the process has ended");
    }

    private interface Conversation {
        void run(OutputStream out, InputStream in) throws IOException;
    }

    /** Starts clients; each repeats the conversation on new connections until the test ends. */
    private void startClients(int count, Conversation conversation) throws IOException {
        int port = process.port();
        for (int i = 0; i < count; i++) {
            Thread client = new Thread(() -> converse(port, conversation));
            client.start();
            clients.add(client);
        }
    }

    private void converse(int port, Conversation conversation) {
        while (!ended) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(3_000);
                conversation.run(socket.getOutputStream(), socket.getInputStream());
            } catch (IOException e) {
                // Turned away; it comes again.
            }
        }
    }

    /** Reads replies until so many lines have come. */
    private static void readLines(InputStream in, int lines) throws IOException {
        byte[] buffer = new byte[1 << 14];
        for (int left = lines; left > 0; ) {
            int read = in.read(buffer);
            if (read < 0) {
                throw new IOException("closed");
            }
            for (int i = 0; i < read; i++) {
                left -= buffer[i] == '\n' ? 1 : 0;
            }
        }
    }

    /**
     * Guards against commands that are gathered in direct memory: where none was left the event loop slept half a second at each read, and
     * notices came tens of seconds late.
     */
    @Test
    void largeCommandsAtOnceHoldUpNobody() throws Exception {
        acceptMessages();
        startClients(160, (out, in) -> sendLargeCommands(out, in));
        assertNoticesInTime();
    }

    private static void sendLargeCommands(OutputStream out, InputStream in) throws IOException {
        for (int i = 0; i < LARGE_COMMANDS; i++) {
            String id = Thread.currentThread().getId() + "-" + i;
            String head = "*5\r\n$6\r\nSUBMIT\r\n$16\r\n" + NO_KEY + "\r\n$" + id.length() + "\r\n" + id
                    + "\r\n$20\r\nc=safe,d=2500,dest=7\r\n$" + LARGE_BODY.length + "\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(LARGE_BODY);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        readLines(in, LARGE_COMMANDS);
    }

    /** Guards against a pass of the event loop that carries out whatever has come, with a system call for each reply. */
    @Test
    void manySmallCommandsAtOnceHoldUpNobody() throws Exception {
        acceptMessages();
        byte[] commands = "*1\r\n$4\r\nPING\r\n".repeat(500).getBytes(StandardCharsets.US_ASCII);
        startClients(100, (out, in) -> {
            while (!ended) {
                out.write(commands);
                readLines(in, 500);
            }
        });
        assertNoticesInTime();
    }

    /** Guards against reads that hold thousands of short commands, all of which are carried out before the connection is stopped. */
    @Test
    void shortCommandsAtOnceHoldUpNobody() throws Exception {
        acceptMessages();
        int count = 5_000;
        byte[] commands = "PING\n".repeat(count).getBytes(StandardCharsets.US_ASCII);
        startClients(100, (out, in) -> {
            while (!ended) {
                out.write(commands);
                readLines(in, count);
            }
        });
        assertNoticesInTime();
    }

    /** Guards against duplicates of a message that is pending that are decided on again and again until the next iteration. */
    @Test
    void manyDuplicatesAtOnceHoldUpNobody() throws Exception {
        acceptMessages();
        int count = 500;
        startClients(400, (out, in) -> {
            // The same for all clients for a tenth of a second.
            String id = "same" + System.nanoTime() / 100_000_000;
            String command = SenderFixture.command("SUBMIT", NO_KEY, id, "c=safe,d=2500,dest=7", "body");
            out.write(command.repeat(count).getBytes(StandardCharsets.US_ASCII));
            readLines(in, count);
        });
        assertNoticesInTime();
    }
}
