package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.ClientServer;
import amberroute.sender.client.QueueingDelay;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class QueueingDelayTest {
    private static final long MS = 1_000_000;

    /**
     * A loop that is stopped at random moments between and within its passes, and the same arithmetic: no request has ever
     * waited for longer than is said, and while nothing stops the loop little more is said than was.
     */
    @Test
    void noRequestHasWaitedLongerThanIsSaid() {
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            boolean stops = seed % 3 != 0;
            long now = 5_000 * MS;
            QueueingDelay queueingDelay = new QueueingDelay(now);
            long nextTick = now + QueueingDelay.TICK_MS * MS;
            ArrayDeque<Long> arrived = new ArrayDeque<>();
            long nextArrival = now;
            long most = 0;
            for (int pass = 0; pass < 2_000; pass++) {
                // The loop looks for what is there, waiting for the next tick or arrival where there is nothing.
                if (arrived.isEmpty() && nextArrival > now) {
                    now = Math.min(nextArrival, Math.max(now, nextTick));
                }
                while (nextArrival <= now) {
                    arrived.add(nextArrival);
                    nextArrival += random.nextLong(30 * MS);
                }
                List<Long> read = new ArrayList<>(arrived);
                arrived.clear();
                // Between looking and reading, while reading, and before its tasks it may be stopped.
                for (long at : read) {
                    now += 10_000 + (stops && random.nextInt(20) == 0 ? random.nextLong(300 * MS) : 0);
                    long said = queueingDelay.millis(0, now);
                    long waited = Math.min(QueueingDelay.CLIENT_TIMEOUT_MS, (now - at) / MS);
                    assertTrue(said >= waited, "seed " + seed + ": waited " + waited + ", said " + said);
                    most = Math.max(most, said);
                }
                now += stops && random.nextInt(50) == 0 ? random.nextLong(300 * MS) : 0;
                if (now >= nextTick) {
                    queueingDelay.tick(now);
                    nextTick = now + QueueingDelay.TICK_MS * MS;
                }
            }
            assertTrue(stops || most <= 2 * QueueingDelay.TICK_MS + 1, "seed " + seed + " says " + most + " on time");
        }
    }

    /** Batches that are full may leave others in the queue: those have waited as long as the first. */
    @Test
    void whoWaitsBehindAFullBatchHasWaitedAsLong() {
        QueueingDelay queueingDelay = new QueueingDelay(0);
        queueingDelay.tick(100 * MS);
        queueingDelay.tick(120 * MS);
        for (int i = 0; i < 16; i++) {
            assertEquals(100 * MS, queueingDelay.accepted());
        }
        queueingDelay.batchDone(16);
        queueingDelay.tick(140 * MS);
        queueingDelay.tick(160 * MS);
        queueingDelay.tick(180 * MS);
        assertEquals(100 * MS, queueingDelay.accepted());
        assertEquals(95, queueingDelay.millis(100 * MS, 195 * MS));
        queueingDelay.batchDone(16);
        assertEquals(160 * MS, queueingDelay.accepted());
        assertEquals(35, queueingDelay.millis(0, 195 * MS));
        assertEquals(QueueingDelay.CLIENT_TIMEOUT_MS, queueingDelay.millis(0, 9_000 * MS));
    }

    /** On sockets: what lay unread while the loop stood still is off the message's time, on old and new connections. */
    @Test
    void whatLayUnreadIsOffTheTimeLeft() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Socket old = new Socket();
                Socket fresh = new Socket()) {
            LinkedBlockingQueue<ClientServer.Submission> read = new LinkedBlockingQueue<>();
            EventLoop loop = group.next();
            ClientServer server = new ClientServer(
                    loop,
                    (submission, answer) -> {
                        read.add(submission);
                        answer.ok();
                    },
                    10,
                    1 << 20);
            server.setClassNames(Set.of("safe"));
            InetSocketAddress address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            old.connect(address);
            submit(old, "first");
            assertEquals("first", read.poll(10, TimeUnit.SECONDS).id());
            CountDownLatch stands = new CountDownLatch(1);
            CountDownLatch goesOn = new CountDownLatch(1);
            loop.execute(() -> {
                stands.countDown();
                try {
                    goesOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stands.await();
            fresh.connect(address);
            submit(old, "old");
            submit(fresh, "fresh");
            long written = System.nanoTime();
            Thread.sleep(150);
            long waited = Math.min(QueueingDelay.CLIENT_TIMEOUT_MS, (System.nanoTime() - written) / MS);
            long released = System.nanoTime();
            goesOn.countDown();
            for (int i = 0; i < 2; i++) {
                ClientServer.Submission submission = read.poll(10, TimeUnit.SECONDS);
                // The time left goes on falling while the event loop works on the request.
                long passed = 1 + (System.nanoTime() - released) / MS;
                assertTrue(
                        submission.timeLeftMillis() <= 8_000 - waited,
                        submission.id() + " has " + submission.timeLeftMillis() + " ms after " + waited);
                assertTrue(
                        submission.timeLeftMillis() >= 8_000 - QueueingDelay.CLIENT_TIMEOUT_MS - passed,
                        submission.id() + " has " + submission.timeLeftMillis() + " ms, " + passed + " ms later");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static void submit(Socket socket, String id) throws Exception {
        OutputStream out = socket.getOutputStream();
        StringBuilder text = new StringBuilder("*5\r\n");
        for (String word : List.of("SUBMIT", "0000000000000000", id, "c=safe,d=8000,dest=1", "body")) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        out.write(text.toString().getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        out.flush();
    }
}
