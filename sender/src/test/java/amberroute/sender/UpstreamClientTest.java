package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.KeyScope;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.IdempotencyWindow;
import amberroute.sender.upstream.UpstreamClient;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls on an event loop of the test's own, which can be made to stand still. */
class UpstreamClientTest {
    private final EventLoopStallDetector stallDetector = new EventLoopStallDetector();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), stallDetector));
    private final EventLoop loop = group.next();
    private final LinkedBlockingQueue<UpstreamClient.Result> results = new LinkedBlockingQueue<>();
    private final UpstreamClient upstreamClient = new UpstreamClient(
            loop,
            stallDetector,
            new UpstreamClient.Listener() {
                @Override
                public void attemptCompleted(UpstreamClient.Result result) {
                    results.add(result);
                }

                @Override
                public void beforeWrite() {}

                @Override
                public void callWritten(int messages) {}
            },
            5_000_000,
            5_000_000,
            100,
            List.of());
    private ServerSocket receiver;
    private ServerSocket discovery;

    @BeforeEach
    void listen() throws IOException {
        receiver = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        receiver.setSoTimeout(20_000);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        discovery.setSoTimeout(20_000);
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        receiver.close();
        discovery.close();
    }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** A watch on whose news every call is barred that is not written yet. */
    private Socket watch() throws Exception {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object news) {
                        upstreamClient.preventWrites(route -> true);
                    }
                })
                .connect(address(discovery))
                .sync();
        return discovery.accept();
    }

    private void start() {
        repeat(message(0), IdempotencyWindow.UNBOUNDED);
    }

    private static AcceptedMessage message(long doubtSince) {
        AcceptedMessage m = new AcceptedMessage(1, "id", "", "safe", 0, 7, 0, new byte[8]);
        m.unknownOutcomeSinceMillis = doubtSince;
        return m;
    }

    private void repeat(AcceptedMessage m, long writeWithin) {
        upstreamClient.start(
                new UpstreamClient.Route(1, address(receiver), 7),
                List.of(new UpstreamClient.CallMessage(m, 0)),
                10_000_000,
                10_000_000,
                writeWithin);
    }

    private static MessageClass type(Idempotency effect) {
        return new MessageClass(1, 0.5, 100_000, 20_000_000, effect, KeyScope.DESTINATION, 1_000_000, false);
    }

    /** Connections until no more fit, so that the next one comes up only when these are accepted. */
    private List<Socket> fill() throws IOException {
        List<Socket> fillers = new ArrayList<>();
        while (fillers.size() < 20) {
            Socket filler = new Socket();
            try {
                filler.connect(address(receiver), 200);
                fillers.add(filler);
            } catch (SocketTimeoutException e) {
                filler.close();
                return fillers;
            }
        }
        throw new IOException("the queue of connections has no end");
    }

    /**
     * The process stands still while its connection comes up and, behind that, the news arrives that the receiver drains: both
     * are there when it goes on, the connection first.
     */
    @Test
    void aCallWhoseConnectionComesUpBesideTheNewsIsNotWritten() throws Exception {
        try (Socket news = watch()) {
            List<Socket> fillers = fill();
            loop.submit(this::start).sync();
            // The loop has looked with that connection on its way, and stands from here on.
            loop.schedule(() -> {}, 20, TimeUnit.MILLISECONDS).sync();
            CountDownLatch goesOn = new CountDownLatch(1);
            loop.execute(() -> {
                try {
                    goesOn.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            for (Socket filler : fillers) {
                receiver.accept().close();
                filler.close();
            }
            try (Socket accepted = receiver.accept()) {
                news.getOutputStream().write('x');
                goesOn.countDown();
                UpstreamClient.Result result = results.poll(10, TimeUnit.SECONDS);
                assertEquals(AttemptOutcome.MOOT, result.outcome());
                assertEquals(0, accepted.getInputStream().available());
            }
        }
    }

    /** A repeat whose connection comes up behind the end of its key's life would run a second time. */
    @Test
    void aRepeatWhoseConnectionComesUpBehindItsKeysLifeIsNotWritten() throws Exception {
        List<Socket> fillers = fill();
        AcceptedMessage m = message(50_000);
        long left = IdempotencyWindow.left(
                List.of(new UpstreamClient.CallMessage(m, 1)),
                number -> type(Idempotency.KEYED),
                50_000 + 1_000 - IdempotencyWindow.MARGIN_MS - 10);
        assertEquals(10, left);
        loop.submit((Runnable) () -> repeat(m, left)).sync();
        loop.schedule(() -> {}, 20, TimeUnit.MILLISECONDS).sync();
        for (Socket filler : fillers) {
            receiver.accept().close();
            filler.close();
        }
        try (Socket accepted = receiver.accept()) {
            assertEquals(AttemptOutcome.MOOT, results.poll(10, TimeUnit.SECONDS).outcome());
            assertEquals(0, accepted.getInputStream().available());
        }
    }

    /** Guards against a call that a process which stood still writes behind its time-out, when the successor has made one. */
    @Test
    void aCallBehindItsTimeoutIsNotWritten() throws Exception {
        loop.submit((Runnable) this::start).sync();
        try (Socket accepted = receiver.accept()) {
            SenderFixture.write(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(AttemptOutcome.OK, results.poll(10, TimeUnit.SECONDS).outcome());
            accepted.getInputStream().readNBytes(accepted.getInputStream().available());
            loop.submit(() -> upstreamClient.start(
                            new UpstreamClient.Route(1, address(receiver), 7),
                            List.of(new UpstreamClient.CallMessage(message(0), 0)),
                            0,
                            10_000_000,
                            IdempotencyWindow.UNBOUNDED))
                    .sync();
            assertEquals(AttemptOutcome.MOOT, results.poll(10, TimeUnit.SECONDS).outcome());
            assertEquals(0, accepted.getInputStream().available());
        }
    }

    @Test
    void onlyKeyedMessagesInDoubtHaveAnEndToTheirRepeats() {
        List<UpstreamClient.CallMessage> fresh = List.of(new UpstreamClient.CallMessage(message(0), 0));
        List<UpstreamClient.CallMessage> doubtful = List.of(
                new UpstreamClient.CallMessage(message(0), 0), new UpstreamClient.CallMessage(message(50_000), 1));
        assertEquals(
                IdempotencyWindow.UNBOUNDED, IdempotencyWindow.left(fresh, number -> type(Idempotency.KEYED), 60_000));
        assertEquals(
                IdempotencyWindow.UNBOUNDED,
                IdempotencyWindow.left(doubtful, number -> type(Idempotency.IDEMPOTENT), 60_000));
        assertEquals(900 - 10_000, IdempotencyWindow.left(doubtful, number -> type(Idempotency.KEYED), 60_000));
    }

    /** The same where nothing speaks against it: the call is made. */
    @Test
    void aCallIsWrittenOnceItsConnectionIsUp() throws Exception {
        loop.execute(this::start);
        try (Socket accepted = receiver.accept()) {
            byte[] head = accepted.getInputStream().readNBytes(13);
            assertEquals("POST /receive", new String(head, java.nio.charset.StandardCharsets.US_ASCII));
            accepted.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            UpstreamClient.Result result = results.poll(10, TimeUnit.SECONDS);
            assertEquals(AttemptOutcome.OK, result.outcome());
            assertTrue(result.messageCompleted());
        }
    }

    private UpstreamClient.Result resultOfRejection(String connectionHeader) throws Exception {
        loop.submit(this::start).sync();
        try (Socket connection = receiver.accept()) {
            connection.getInputStream().read();
            String response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: " + connectionHeader
                    + "\r\n\r\n";
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            return results.poll(20, TimeUnit.SECONDS);
        }
    }

    /** Guards against a shut endpoint that keeps the connection being taken for one whose table of connections is full. */
    @Test
    void rejectionThatKeepsItsConnectionIsNoneOfTheConnection() throws Exception {
        assertTrue(resultOfRejection("keep-alive").connectionIdleMicros() > 0);
        assertEquals(0, resultOfRejection("close").connectionIdleMicros());
    }
}
