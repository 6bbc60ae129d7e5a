package amberroute.sender.peer;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.Journal;
import amberroute.storage.Batch;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** When an owner's changes travel to its holders, and what waits for whom. */
class JournalReplicatorTest {
    /** Takes copies on a connection and says so, unless it is told to be silent. */
    private static final class Holder implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<JsonObject> copies = new CopyOnWriteArrayList<>();
        volatile boolean whole;
        volatile boolean silent;

        Holder() throws IOException {
            Thread thread = new Thread(this::serve);
            thread.setDaemon(true);
            thread.start();
        }

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }

        private void serve() {
            try (Socket peer = socket.accept();
                    BufferedReader in =
                            new BufferedReader(new InputStreamReader(peer.getInputStream(), StandardCharsets.UTF_8))) {
                for (String text = in.readLine(); text != null; text = in.readLine()) {
                    JsonObject line = JsonParser.parseString(text).getAsJsonObject();
                    boolean copy = line.get("word").getAsString().equals("COPY");
                    if (copy && !line.getAsJsonArray("batches").isEmpty()) {
                        copies.add(line);
                    }
                    if (!silent && (copy || line.get("last").getAsBoolean())) {
                        JsonObject answer = new JsonObject();
                        answer.addProperty("word", "HAVE");
                        answer.addProperty("from", "x");
                        answer.addProperty("estate", "one.a");
                        answer.addProperty("term", line.get("term").getAsLong());
                        answer.addProperty("number", line.get("upto").getAsLong());
                        answer.addProperty("counts", true);
                        peer.getOutputStream().write((answer + "\n").getBytes(StandardCharsets.UTF_8));
                        whole |= !copy;
                    }
                }
            } catch (IOException e) {
                // The test is over.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicInteger had = new AtomicInteger();
    private Holder two;
    private Holder three;
    private Journal journal;
    private JournalReplicator replicator;

    @BeforeEach
    void begin() throws Exception {
        two = new Holder();
        three = new Holder();
        Files.createDirectories(folder.resolve("s"));
        journal = Journal.open(folder.resolve("s"), 1 << 20);
        loop.submit(() -> {
                    replicator = new JournalReplicator(
                            loop,
                            "one",
                            "one.a",
                            journal,
                            Map.of("two", two.address(), "three", three.address()),
                            (term, owner) -> {});
                    journal.replicateTo(replicator);
                    assertTrue(replicator.startTerm(
                            1, LogPosition.NONE, new ReplicaSet(0, List.of("one", "two", "three"))));
                })
                .sync();
        await(() -> two.whole && three.whole && call(replicator::isReady));
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(replicator::close).sync();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        journal.close();
        two.close();
        three.close();
    }

    private boolean call(java.util.concurrent.Callable<Boolean> question) {
        return loop.submit(question).syncUninterruptibly().getNow();
    }

    /** Some changes that allow nothing, one that allows an effect, in one pass of the loop. */
    private void write(int idle) throws Exception {
        loop.submit(() -> {
                    int before = had.get();
                    for (int i = 0; i < idle + 1; i++) {
                        replicator.batchWritten(new Batch().put(1_000 + i, 1, new byte[10]));
                    }
                    replicator.whenReplicated(had::incrementAndGet, null);
                    assertEquals(before, had.get(), "nothing was agreed on yet");
                })
                .sync();
    }

    /** No line of its own spent on what no effect waits for, nor on a holder whom none waits for. */
    @Test
    void changesShareALineAndOneHolderMakesTheMajority() throws Exception {
        write(4);
        await(() -> had.get() == 1);
        await(() -> three.copies.size() + two.copies.size() == 2);
        assertEquals(5, two.copies.get(0).getAsJsonArray("batches").size());
        assertEquals(5, three.copies.get(0).getAsJsonArray("batches").size());
        // The group is told with the whole and not again.
        assertFalse(two.copies.get(0).has("holders"));
        loop.submit(() -> replicator.batchWritten(new Batch().put(2_000, 1, new byte[10])))
                .sync();
        // It goes by itself as well, to both.
        await(() -> two.copies.size() == 2 && three.copies.size() == 2);
    }

    @Test
    void whoDoesNotAnswerIsNotWaitedFor() throws Exception {
        two.silent = true;
        for (int i = 1; i <= 5; i++) {
            int effects = i;
            write(0);
            await(() -> had.get() == effects);
        }
        assertEquals(
                5,
                three.copies.stream()
                        .mapToInt(c -> c.getAsJsonArray("batches").size())
                        .sum());
    }
}
