package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.client.ClientServer;
import amberroute.sender.message.AcceptedMessage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Unchecked errors between the journal, the tables and the scheduler affect one message only. */
class MessageAcceptanceTest {
    private static final String NO_KEY = "0000000000000000";
    /** Number of the class whose messages are not called again where a call may have run. */
    private static final int UNSAFE = 2;

    /** Number of no class: a call with such a message cannot be started. */
    private static final int UNKNOWN = 1_000;

    private static final long MESSAGE_LIFE_MICROS = 20_000_000;

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void open() throws IOException {
        world = new SenderFixture(folder);
        sender = world.start();
        await(() -> sender.isEndpointReady("s-1"));
    }

    @AfterEach
    void close() throws IOException {
        sender.stop();
        world.close();
    }

    /** A reply that fails wherever it is used. */
    private static final class BrokenReply extends ClientServer.Answer {
        @Override
        public boolean isClientConnected() {
            throw new IllegalStateException("a defect");
        }

        @Override
        public void send(String text) {
            throw new IllegalStateException("a defect");
        }
    }

    private AcceptedMessage message(long number) {
        return new AcceptedMessage(
                number,
                "id-" + number,
                "",
                "safe",
                0,
                7,
                Long.MAX_VALUE / 2,
                "body".getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against messages that are taken on behind the failed acceptance of another one, and then never called. */
    @Test
    void acceptanceThatFailsKeepsBackNoOther() throws Exception {
        sender.state()
                .loop()
                .submit(() -> {
                    AcceptedMessage broken =
                            message(sender.state().folder().journal().nextNumber());
                    sender.state()
                            .messages()
                            .pendingAcceptances()
                            .put(broken.number, new PendingAcceptance(broken, new BrokenReply()));
                })
                .sync();
        SenderFixture.Client client = world.client(sender);
        assertEquals("+OK", client.submit("safe", SenderFixture.ID + "0", NO_KEY));
        await(() -> world.receiver.requests.size() == 1);
        await(() -> sender.pendingMessageCount() == 0);
        assertTrue(sender.state()
                .loop()
                .submit(() -> sender.state().messages().pendingAcceptances().isEmpty())
                .get());
    }

    /** Guards against calls that are never made behind one that cannot be started in the same iteration: they would have no end. */
    @Test
    void callThatCannotBeStartedKeepsBackNoOther() throws Exception {
        // The scheduler gives several calls at once only to an endpoint that has answered.
        world.prove(sender, world.client(sender));
        sender.state()
                .loop()
                .submit(() -> List.of(UNSAFE, UNKNOWN, UNSAFE).forEach(this::submitAccepted))
                .sync();
        await(() -> world.receiver.requests.size() == 2);
    }

    private void submitAccepted(int classNumber) {
        AcceptedMessage message = message(sender.state().folder().journal().nextNumber());
        message.classNumber = classNumber;
        sender.state().messages().accepted().put(message.number, message);
        sender.delivery()
                .scheduler
                .submit(new Event.MessageSubmitted(message.number, UNSAFE, 0, 0, MESSAGE_LIFE_MICROS, 7));
    }
}
