package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.sender.journal.Journal;
import amberroute.sender.message.AcceptedMessage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The place of a key hold among the messages of its key, as a new process on the folder finds it. */
class KeyHoldRecoveryTest {
    private static final long KEY = 0x7f3a9c21e0b4d655L;
    private static final long JOURNAL_BYTES = 3_000_000;
    /** Far beyond what {@link SenderFixture#await} waits for. */
    private static final long LIFETIME_MILLIS = 300_000;

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void end() throws IOException {
        if (sender != null) {
            sender.stop();
        }
        world.close();
    }

    private Journal journal() throws IOException {
        return Journal.open(folder.resolve("heir"), JOURNAL_BYTES);
    }

    private static void accept(Journal journal, String id) {
        journal.accept(new AcceptedMessage(
                journal.nextNumber(), id, id, "keyed", KEY, 7, endMillis(), ("body of " + id).getBytes()));
    }

    private static void hold(Journal journal) {
        journal.holdKeys("leaver", List.of(KEY), endMillis());
    }

    private static long endMillis() {
        return System.currentTimeMillis() + LIFETIME_MILLIS;
    }

    private List<String> delivered() {
        return world.receiver.requests.stream().map(SenderFixture.Request::body).toList();
    }

    /** Failure: a hold repeated behind the adoption of its messages kept them unsent up to their deadline after a restart. */
    @Test
    void messagesAcceptedBeforeAHoldAreSentAfterARestart() throws Exception {
        try (Journal journal = journal()) {
            accept(journal, "k0");
            accept(journal, "k1");
            hold(journal);
            accept(journal, "k2");
        }
        sender = Sender.start(world.handoffConfig("heir", "", 50));
        await(() -> sender.pendingMessageCount() == 1);
        assertEquals(List.of("body of k0", "body of k1"), delivered());
    }

    /** Guards the other side of the same rule: what came behind a hold waits for it, and goes when it is released. */
    @Test
    void messagesAcceptedBehindAHoldWaitForItAfterARestart() throws Exception {
        try (Journal journal = journal()) {
            hold(journal);
            accept(journal, "k0");
            journal.accept(new AcceptedMessage(
                    journal.nextNumber(), "other", "other", "safe", 0, 7, endMillis(), "body of other".getBytes()));
        }
        sender = Sender.start(world.handoffConfig("heir", "", 50));
        await(() -> sender.pendingMessageCount() == 1);
        assertEquals(List.of("body of other"), delivered());
        sender.blockEventLoop(() -> sender.delivery().keyHolds.release(List.of(KEY)));
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(List.of("body of other", "body of k0"), delivered());
    }
}
