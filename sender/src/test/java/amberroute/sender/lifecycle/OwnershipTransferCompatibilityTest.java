package amberroute.sender.lifecycle;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.client.ClientServer;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Transfers of ownership between this version and version 131520b, whose lines were recorded between two processes of it. Each line of
 * a recording starts with the process that sent it.
 */
@Timeout(30)
class OwnershipTransferCompatibilityTest {
    private static final String OUTCOMES = "ownership-transfer-outcomes.txt";
    private static final String CANCEL = "ownership-transfer-cancel.txt";
    private static final int FIRST_ENDPOINT = 100;

    @TempDir
    Path state;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The numbers of endpoints by uid, as a process gives them in the order in which it hears of them. */
    private final Map<String, Long> endpointNumbers = new HashMap<>();

    private OldProcess old;

    @BeforeEach
    void openOldProcess() throws IOException {
        old = new OldProcess(state);
    }

    @AfterEach
    void close() throws IOException {
        old.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** The lines that one of the processes of the old version sent, in order. */
    private static List<String> recorded(String recording, String sender) throws IOException {
        String path = "/compatibility/131520b/" + recording;
        try (InputStream in = OwnershipTransferCompatibilityTest.class.getResourceAsStream(path)) {
            assertNotNull(in, path);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith(sender + " "))
                    .map(line -> line.substring(sender.length() + 1))
                    .toList();
        }
    }

    private static String recordedLine(String recording, String sender, String command) throws IOException {
        return recorded(recording, sender).stream()
                .filter(line -> json(line).get("do").getAsString().equals(command))
                .findFirst()
                .orElseThrow();
    }

    private static JsonObject json(String line) {
        return JsonParser.parseString(line).getAsJsonObject();
    }

    private long endpointNumber(String uid) {
        return endpointNumbers.computeIfAbsent(uid, unknown -> FIRST_ENDPOINT + (long) endpointNumbers.size());
    }

    private String endpointUid(long number) {
        return endpointNumbers.entrySet().stream()
                .filter(entry -> entry.getValue() == number)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private void onLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    // ---- This version as successor of the old one. ----

    @Test
    void theTransferredStateOfTheOldVersionIsReadAndWrittenWithoutAChange() throws IOException {
        for (String recording : List.of(OUTCOMES, CANCEL)) {
            JsonObject recordedState =
                    json(recordedLine(recording, "predecessor", "yours")).getAsJsonObject("estate");
            TransferredState read = TransferredState.read(recordedState, this::endpointNumber);
            assertEquals(recordedState.toString(), read.write(this::endpointUid).toString());
        }
    }

    @Test
    void theTransferredStateOfTheOldVersionIsUnderstood() throws IOException {
        TransferredState read = TransferredState.read(
                json(recordedLine(OUTCOMES, "predecessor", "yours")).getAsJsonObject("estate"), this::endpointNumber);
        assertEquals(
                List.of(List.of(5L), List.of(6L), List.of(7L), List.of(8L), List.of(11L)),
                read.callsInFlight().stream()
                        .map(TransferredState.CallInFlight::numbers)
                        .toList());
        assertEquals(
                List.of(221_643L, 211_454L, 202_517L, 192_784L, 18_554L),
                read.callsInFlight().stream()
                        .map(TransferredState.CallInFlight::sentAgoMicros)
                        .toList());
        assertTrue(read.callsInFlight().stream().allMatch(call -> call.uid().equals("s-1")));
        assertEquals(
                List.of(7, 8),
                read.snapshots().stream()
                        .map(snapshot -> snapshot.checkpoint().destination())
                        .toList());
        assertEquals(67_938.0, read.snapshots().get(0).checkpoint().usualLatencyMicros());
        assertEquals(0.15, read.snapshots().get(0).failureRatio());
        assertEquals(1, read.pausedKeys().size());
        assertEquals(0xa5, read.pausedKeys().get(0).key());
        assertEquals(62_431, read.pausedKeys().get(0).remainingMicros());
        assertEquals(11, read.pausedKeys().get(0).exemptMessage());
    }

    @Test
    void theOldPredecessorIsUnderstoodAndAnswered() throws Exception {
        old.listenAsPredecessor();
        PredecessorListener listener = new PredecessorListener();
        IncomingTransfer transfer = new IncomingTransfer(loop, listener);
        CompletableFuture<JsonObject> taken = CompletableFuture.supplyAsync(() -> take(transfer));
        JsonObject request = json(old.receive());
        assertEquals(
                withoutKeys(recordedLine(OUTCOMES, "successor", "take"), "pid"),
                withoutKeys(request.toString(), "pid"));
        List<String> lines = recorded(OUTCOMES, "predecessor");
        old.send(lines.get(0));
        assertEquals(json(lines.get(0)).getAsJsonObject("estate"), taken.get(10, TimeUnit.SECONDS));
        onLoop(() -> transfer.open(Set.of(5L, 6L, 7L, 8L, 11L)));
        List<String> sent = lines.subList(1, lines.size() - 1);
        for (String line : sent) {
            old.send(line);
            listener.expect(json(line));
        }
        assertEquals(recordedLine(OUTCOMES, "successor", "answer"), old.receive());
    }

    private JsonObject take(IncomingTransfer transfer) {
        try {
            return transfer.request(state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void aRefusalOfTheOldPredecessorIsUnderstood() throws Exception {
        old.listenAsPredecessor();
        IncomingTransfer transfer = new IncomingTransfer(loop, new PredecessorListener());
        CompletableFuture<JsonObject> taken = CompletableFuture.supplyAsync(() -> take(transfer));
        old.receive();
        long startNanos = System.nanoTime();
        old.send(recordedLine(OUTCOMES, "predecessor", "no"));
        assertEquals(null, taken.get(10, TimeUnit.SECONDS));
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(2), "it was waited for a further answer");
    }

    @Test
    void aCancellationIsSentAsTheOldSuccessorSendsIt() throws Exception {
        old.listenAsPredecessor();
        PredecessorListener listener = new PredecessorListener();
        IncomingTransfer transfer = new IncomingTransfer(loop, listener);
        CompletableFuture<JsonObject> taken = CompletableFuture.supplyAsync(() -> take(transfer));
        old.receive();
        old.send(recordedLine(CANCEL, "predecessor", "yours"));
        taken.get(10, TimeUnit.SECONDS);
        onLoop(() -> {
            transfer.open(Set.of(5L));
            transfer.cancel(5);
        });
        assertEquals(recordedLine(CANCEL, "successor", "cancel"), old.receive());
        String outcome = recordedLine(CANCEL, "predecessor", "outcome");
        old.send(outcome);
        listener.expect(json(outcome));
    }

    // ---- This version as predecessor of the old one. ----

    @Test
    void theLinesToTheOldSuccessorAreThoseOfTheOldPredecessor() throws Exception {
        SuccessorListener listener = new SuccessorListener(
                json(recordedLine(OUTCOMES, "predecessor", "yours")).getAsJsonObject("estate"));
        OutgoingTransfer transfer = new OutgoingTransfer(loop, listener);
        transfer.listen(state);
        old.connectAsSuccessor();
        old.send(recordedLine(OUTCOMES, "successor", "take"));
        List<String> lines = recorded(OUTCOMES, "predecessor");
        assertEquals(lines.get(0), old.receive());
        BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        for (String line : lines.subList(1, lines.size() - 1)) {
            JsonObject expected = json(line);
            if (expected.get("do").getAsString().equals("outcome")) {
                onLoop(() -> transfer.forwardOutcome(
                        result(expected), expected.get("uid").getAsString()));
                assertEquals(line, old.receive());
            } else {
                onLoop(() -> assertTrue(transfer.forwardSubmission(submission(expected), new RecordedAnswer(answers))));
                // The time of sending differs, and nothing else.
                assertEquals(withoutKeys(line, "at"), withoutKeys(old.receive(), "at"));
            }
        }
        String answer = recordedLine(OUTCOMES, "successor", "answer");
        old.send(answer);
        assertEquals(json(answer).get("line").getAsString(), answers.poll(10, TimeUnit.SECONDS));
        onLoop(() -> assertEquals(0, transfer.unansweredSubmissions()));
    }

    @Test
    void anotherVersionOfTheLineIsRefusedAsByTheOldPredecessor() throws Exception {
        OutgoingTransfer transfer = new OutgoingTransfer(loop, new SuccessorListener(new JsonObject()));
        transfer.listen(state);
        old.connectAsSuccessor();
        old.send("{\"do\":\"take\",\"v\":99}");
        assertEquals(recordedLine(OUTCOMES, "predecessor", "no"), old.receive());
    }

    @Test
    void theOldSuccessorCancelsCalls() throws Exception {
        SuccessorListener listener = new SuccessorListener(
                json(recordedLine(CANCEL, "predecessor", "yours")).getAsJsonObject("estate"));
        OutgoingTransfer transfer = new OutgoingTransfer(loop, listener);
        transfer.listen(state);
        old.connectAsSuccessor();
        for (String line : recorded(CANCEL, "successor")) {
            old.send(line);
        }
        assertEquals(recordedLine(CANCEL, "predecessor", "yours"), old.receive());
        assertEquals(5L, listener.cancelled.poll(10, TimeUnit.SECONDS));
        String outcome = recordedLine(CANCEL, "predecessor", "outcome");
        onLoop(() -> transfer.forwardOutcome(
                result(json(outcome)), json(outcome).get("uid").getAsString()));
        assertEquals(outcome, old.receive());
    }

    private static UpstreamClient.Result result(JsonObject outcome) {
        AcceptedMessage message = new AcceptedMessage(
                outcome.get("number").getAsLong(), "id", "", "safe", 0, 7, Long.MAX_VALUE, new byte[0]);
        List<Double> report = new ArrayList<>();
        for (JsonElement value : outcome.getAsJsonArray("report")) {
            report.add(value.getAsDouble());
        }
        return new UpstreamClient.Result(
                message,
                0,
                FIRST_ENDPOINT,
                AttemptOutcome.valueOf(outcome.get("ending").getAsString()),
                outcome.get("took").getAsLong(),
                outcome.get("closed").getAsBoolean(),
                outcome.get("wait").getAsLong(),
                report,
                outcome.get("idle").getAsLong());
    }

    private static ClientServer.Submission submission(JsonObject line) {
        return new ClientServer.Submission(
                Long.parseUnsignedLong(line.get("key").getAsString(), 16),
                line.get("id").getAsString(),
                line.get("class").getAsString(),
                line.get("time_left").getAsLong(),
                line.get("destination").getAsInt(),
                line.get("idempotency_key").getAsString(),
                Base64.getDecoder().decode(line.get("body").getAsString()));
    }

    /** The line with these values blanked out and all else, the order of keys too, as it is. */
    private static String withoutKeys(String line, String... keys) {
        JsonObject json = json(line);
        for (String key : keys) {
            assertTrue(json.has(key), line);
            json.addProperty(key, 0);
        }
        return json.toString();
    }

    /** What the predecessor reports, as this version understands it. */
    private static final class PredecessorListener implements IncomingTransfer.Host {
        private final BlockingQueue<JsonObject> outcomes = new LinkedBlockingQueue<>();
        private final BlockingQueue<ClientServer.Submission> submissions = new LinkedBlockingQueue<>();

        @Override
        public void outcome(long number, String uid, AttemptOutcome ending, JsonObject report) {
            JsonObject outcome = new JsonObject();
            outcome.addProperty("do", "outcome");
            outcome.addProperty("number", number);
            outcome.addProperty("uid", uid);
            outcome.addProperty("ending", ending.name());
            for (String key : List.of("took", "closed", "wait", "idle")) {
                outcome.add(key, report.get(key));
            }
            JsonArray load = report.getAsJsonArray("report");
            outcome.add("report", load);
            outcomes.add(outcome);
        }

        @Override
        public void submitted(ClientServer.Submission submission, ClientServer.Answer answer) {
            submissions.add(submission);
            answer.ok();
        }

        @Override
        public void predecessorGone() {}

        void expect(JsonObject line) throws InterruptedException {
            if (line.get("do").getAsString().equals("outcome")) {
                assertEquals(line, outcomes.poll(10, TimeUnit.SECONDS));
                return;
            }
            ClientServer.Submission expected = submission(line);
            ClientServer.Submission read = submissions.poll(10, TimeUnit.SECONDS);
            assertNotNull(read);
            // The recorded time of sending lies in the past of this machine, or in its future after a restart.
            assertTrue(read.timeLeftMillis() >= 0);
            assertEquals(
                    List.of(expected.key(), expected.id(), expected.className(), expected.destination()),
                    List.of(read.key(), read.id(), read.className(), read.destination()));
            assertEquals(expected.idempotencyKey(), read.idempotencyKey());
            assertArrayEquals(expected.body(), read.body());
        }
    }

    /** Gives the recorded state to the successor. */
    private static final class SuccessorListener implements OutgoingTransfer.Host {
        private final JsonObject given;
        private final BlockingQueue<Long> cancelled = new LinkedBlockingQueue<>();

        SuccessorListener(JsonObject given) {
            this.given = given;
        }

        @Override
        public String rejectionReason() {
            return null;
        }

        @Override
        public JsonObject releaseOwnership() {
            return given;
        }

        @Override
        public void cancel(long number) {
            cancelled.add(number);
        }

        @Override
        public void successorGone() {}
    }

    /** An answer to a client. */
    private static final class RecordedAnswer extends ClientServer.Answer {
        private final BlockingQueue<String> lines;

        RecordedAnswer(BlockingQueue<String> lines) {
            this.lines = lines;
        }

        @Override
        public boolean isClientConnected() {
            return true;
        }

        @Override
        public void send(String text) {
            lines.add(text);
        }
    }

    /** The end of the transfer channel at which a process of the old version would be. */
    private static final class OldProcess {
        private final Path state;
        private ServerSocketChannel server;
        private SocketChannel channel;
        private BufferedReader reader;

        OldProcess(Path state) {
            this.state = state;
        }

        private UnixDomainSocketAddress address() {
            return UnixDomainSocketAddress.of(state.resolve("successor"));
        }

        void listenAsPredecessor() throws IOException {
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            server.bind(address());
        }

        void connectAsSuccessor() throws IOException {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(address());
        }

        private SocketChannel channel() throws IOException {
            if (channel == null) {
                channel = server.accept();
            }
            return channel;
        }

        void send(String line) throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel().write(bytes);
            }
        }

        /** The next line as it came, without its end. */
        String receive() throws IOException {
            if (reader == null) {
                reader = new BufferedReader(Channels.newReader(channel(), StandardCharsets.UTF_8));
            }
            return reader.readLine();
        }

        void close() throws IOException {
            if (channel != null) {
                channel.close();
            }
            if (server != null) {
                server.close();
            }
        }
    }
}
